#include "Service.h"

namespace dogwoodvale {

const RequestClass*
Service::FindClass(const ClassName& aName) const
{
  for (const RequestClass& requestClass : this->classes) {
    if (requestClass.name == aName) {
      return &requestClass;
    }
  }
  return nullptr;
}

bool
Route::Matches(std::string_view aMethod, std::string_view aPath) const
{
  if (!this->method.empty() && this->method != aMethod) {
    return false;
  }
  if (aPath.substr(0, this->pathPrefix.size()) != this->pathPrefix) {
    return false;
  }
  // Whole segments only: "/permits" must not take "/permits-old".
  return aPath.size() == this->pathPrefix.size() ||
         this->pathPrefix.back() == '/' ||
         aPath[this->pathPrefix.size()] == '/' ||
         aPath[this->pathPrefix.size()] == '?';
}

} // namespace dogwoodvale
