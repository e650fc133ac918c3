#pragma once

#include "core/types/messages.h"

namespace mulberrysail::core {

/** Adds the content of a message to the message that the same sender sent to
 * the same recipient directly before it, if both together mean what they mean
 * one after the other.
 * @param aLater undefined after a merge, unchanged otherwise.
 * @return whether the messages were merged. */
bool
MergeInto(Message& aEarlier, Message& aLater);

} // namespace mulberrysail::core
