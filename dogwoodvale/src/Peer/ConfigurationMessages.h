#ifndef DOGWOODVALE_PEER_CONFIGURATIONMESSAGES_H
#define DOGWOODVALE_PEER_CONFIGURATIONMESSAGES_H

#include "Message.h"
#include "dogwoodvale/Store"

namespace dogwoodvale {

/// The message forms of what ConfigurationManager exchanges.
ConfigurationReply
ToReply(ConfigurationBundle aBundle);
ConfigurationBundle
ToBundle(ConfigurationReply aReply);

} // namespace dogwoodvale

#endif
