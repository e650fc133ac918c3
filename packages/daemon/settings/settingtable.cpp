#include "daemon/settings/settinggroups.h"

#include <vector>

namespace mulberrysail::daemon {

std::span<const SettingField>
SettingFields()
{
  static const std::vector<SettingField> kFields = [] {
    std::vector<SettingField> fields;
    for (const std::span<const SettingField> group :
         { ProcessFields(), EntryPolicyFields(), AgentPolicyFields() }) {
      fields.insert(fields.end(), group.begin(), group.end());
    }
    return fields;
  }();
  return kFields;
}

} // namespace mulberrysail::daemon
