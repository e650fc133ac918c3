#pragma once

#include "core/types/messages.h"

#include <vector>

namespace mulberrysail::protocol {

/** @return one message of each kind, no field left at its default. */
std::vector<core::Message>
SampleMessages();

/** @return whether two messages are alike in every field. */
bool
SameMessage(const core::Message& aLeft, const core::Message& aRight);

} // namespace mulberrysail::protocol
