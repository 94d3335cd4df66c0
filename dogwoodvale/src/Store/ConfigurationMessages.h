#ifndef DOGWOODVALE_STORE_CONFIGURATIONMESSAGES_H
#define DOGWOODVALE_STORE_CONFIGURATIONMESSAGES_H

#include "ConfigurationState.h"
#include "dogwoodvale/Peer"

namespace dogwoodvale {

/// The message forms of what ConfigurationManager exchanges.
ConfigurationReply
ToReply(ConfigurationBundle aBundle);
ConfigurationBundle
ToBundle(ConfigurationReply aReply);

} // namespace dogwoodvale

#endif
