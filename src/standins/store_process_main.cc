// standin-store: a StoreStandin as a process of its own, for the soak.

#include "process/process.h"
#include "standins/store_standin.h"

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("standin-store: the platform's store's stand-in", &argc, &argv);
  EventLoop loop;
  HandleStopSignals(&loop, [&] { loop.Stop(); });
  StoreStandin store(&loop);
  WriteReadyFile(store.address().ToString());
  loop.Run();
  return 0;
}
