// standin-store: runs a StoreStandin as a separate process, for the soak.
//
// On SIGHUP the store saves a copy of all topics.  On the next SIGHUP it restores this copy, with
// the next epoch.  Further signals alternate between the two.

#include <gflags/gflags.h>

#include "process/process.h"
#include "standins/store_standin.h"

DEFINE_uint64(epoch, 0, "epoch sent in answers at first; 0 sends none until the first restore");

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("standin-store: stand-in for the platform's store", &argc, &argv);
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
