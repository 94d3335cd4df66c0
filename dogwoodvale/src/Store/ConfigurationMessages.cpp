#include "dogwoodvale/Store"

namespace dogwoodvale {

ConfigurationReply
ToReply(ConfigurationBundle aBundle)
{
  ConfigurationReply reply;
  reply.epoch = aBundle.epoch;
  reply.root = std::move(aBundle.root);
  for (Page& page : aBundle.pages) {
    reply.pages.push_back({ std::move(page.hash), std::move(page.content) });
  }
  return reply;
}

ConfigurationBundle
ToBundle(ConfigurationReply aReply)
{
  ConfigurationBundle bundle;
  bundle.epoch = aReply.epoch;
  bundle.root = std::move(aReply.root);
  for (ConfigurationPage& page : aReply.pages) {
    bundle.pages.push_back({ std::move(page.hash), std::move(page.content) });
  }
  return bundle;
}

} // namespace dogwoodvale
