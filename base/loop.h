// Thin owners of libev's loop and watchers. A watcher stops when destroyed.

#ifndef BASE_LOOP_H_
#define BASE_LOOP_H_

#include <functional>
#include <utility>

#include <ev.h>

#include "base/clock.h"

namespace quartzhoist::base {

// One event loop; it runs on the thread that calls Run().
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run();
  // Runs what is ready now or becomes ready first, then returns.
  void RunOnce();
  // Ends Run(). Only from the loop's own thread.
  void Stop();
  struct ev_loop* raw() {
    return this->loop;
  }

 private:
  struct ev_loop* loop;
};

// Calls `action` every `period`, or once if `period` is zero.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> action);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void StartOnce(Micros delay);
  void StartEvery(Micros period);
  void Stop();

 private:
  Loop& loop;
  std::function<void()> action;
  ev_timer watcher;
};

// Calls `action(revents)` when the descriptor is ready.
class IoWatcher {
 public:
  IoWatcher(Loop& loop, int fd, int events, std::function<void(int)> action);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  void SetEvents(int events);
  void Stop();

 private:
  Loop& loop;
  int fd;
  std::function<void(int)> action;
  ev_io watcher;
};

// Calls `action` each time the loop is about to wait.
class PrepareWatcher {
 public:
  PrepareWatcher(Loop& loop, std::function<void()> action);
  ~PrepareWatcher();
  PrepareWatcher(const PrepareWatcher&) = delete;
  PrepareWatcher& operator=(const PrepareWatcher&) = delete;

 private:
  Loop& loop;
  std::function<void()> action;
  ev_prepare watcher;
};

// Wakes a loop from any thread; the action runs on the loop's thread.
class Waker {
 public:
  Waker(Loop& loop, std::function<void()> action);
  ~Waker();
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;

  void Wake();

 private:
  Loop& loop;
  std::function<void()> action;
  ev_async watcher;
};

// Calls `action` on the loop's thread when the process gets the signal.
class SignalWatcher {
 public:
  SignalWatcher(Loop& loop, int signal, std::function<void()> action);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  Loop& loop;
  std::function<void()> action;
  ev_signal watcher;
};

}  // namespace quartzhoist::base

#endif  // BASE_LOOP_H_
