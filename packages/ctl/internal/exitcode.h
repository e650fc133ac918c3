#pragma once

namespace mulberrysail::ctl {

/** What the program tells the shell. */
enum class ExitCode : int
{
  Done = 0,
  /** The service refused or failed it, and it did not run. */
  NotRun = 1,
  Usage = 2,
  /** It ran and failed, or it may have run. */
  MayHaveRun = 3,
  CantConnect = 4,
  /** The patch is not based on the newest version. */
  Conflict = 5,
};

} // namespace mulberrysail::ctl
