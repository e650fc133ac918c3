#pragma once

#include "core/types/messages.h"

#include <vector>

namespace mulberrysail::protocol {

/** @return one message of each type, ordered as in core::Message. No field has
 * its default value, except m_service and m_labels of the worker. */
std::vector<core::Message>
SampleMessages();

/** @return whether two messages are equal in every field. */
bool
SameMessage(const core::Message& aLeft, const core::Message& aRight);

} // namespace mulberrysail::protocol
