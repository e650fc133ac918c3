#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

/** Runs every registered suite, or only the test named by the argument. */
int
main(int aArgc, char** aArgv)
{
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  return runner.run(aArgc > 1 ? aArgv[1] : "", false) ? 0 : 1;
}
