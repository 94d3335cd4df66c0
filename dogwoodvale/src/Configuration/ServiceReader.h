#ifndef DOGWOODVALE_CONFIGURATION_SERVICEREADER_H
#define DOGWOODVALE_CONFIGURATION_SERVICEREADER_H

#include "Service.h"
#include "dogwoodvale/Settings"

namespace dogwoodvale::internal {

/// Reads a service with its models, routes and classes, and checks what can
/// be checked within it.
Service
ReadService(const ReadScope& aScope, ObjectView aValue);

} // namespace dogwoodvale::internal

#endif
