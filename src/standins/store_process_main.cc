// standin-store: a StoreStandin as a process of its own, for the soak.
//
// SIGHUP has it keep a copy of all that it holds; the next SIGHUP has it return from that copy,
// under the next epoch, and so on in turn.

#include <gflags/gflags.h>

#include "process/process.h"
#include "standins/store_standin.h"

DEFINE_uint64(epoch, 0, "the epoch that it tells at first; 0: it tells none");

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("standin-store: the platform's store's stand-in", &argc, &argv);
  EventLoop loop;
  uint64_t epoch = FLAGS_epoch;
  bool has_copy = false;
  StoreStandin* running = nullptr;
  HandleStopSignals(&loop, [&] { loop.Stop(); });
  HandleReloadSignal(&loop, [&] {
    if (!has_copy) {
      running->SaveCopy();
    } else {
      running->RestoreCopy(std::to_string(++epoch));
    }
    has_copy = !has_copy;
  });
  StoreStandin store(&loop);
  running = &store;
  if (epoch > 0) store.SetEpoch(std::to_string(epoch));
  WriteReadyFile(store.address().ToString());
  loop.Run();
  return 0;
}
