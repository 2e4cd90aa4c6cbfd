#include "base/loop.h"

#include <stdexcept>

namespace quartzhoist::base {

namespace {

double ToEvSeconds(Micros span) {
  return span.count() <= 0 ? 0.0 : Seconds(span);
}

}  // namespace

Loop::Loop() : loop(ev_loop_new(EVFLAG_AUTO)) {
  if (!this->loop)
    throw std::runtime_error("cannot make an event loop");
}

Loop::~Loop() {
  ev_loop_destroy(this->loop);
}

void Loop::Run() {
  ev_run(this->loop, 0);
}

void Loop::RunOnce() {
  ev_run(this->loop, EVRUN_ONCE);
}

void Loop::Stop() {
  ev_break(this->loop, EVBREAK_ALL);
}

Timer::Timer(Loop& on, std::function<void()> what)
    : loop(on), action(std::move(what)) {
  ev_init(&this->watcher, [](struct ev_loop*, ev_timer* timer, int) {
    static_cast<Timer*>(timer->data)->action();
  });
  this->watcher.data = this;
}

Timer::~Timer() {
  this->Stop();
}

void Timer::StartOnce(Micros delay) {
  this->Stop();
  ev_timer_set(&this->watcher, ToEvSeconds(delay), 0.0);
  // The loop's cached time may be old when a callback ran long.
  ev_now_update(this->loop.raw());
  ev_timer_start(this->loop.raw(), &this->watcher);
}

void Timer::StartEvery(Micros period) {
  this->Stop();
  ev_timer_set(&this->watcher, ToEvSeconds(period), ToEvSeconds(period));
  ev_timer_start(this->loop.raw(), &this->watcher);
}

void Timer::Stop() {
  ev_timer_stop(this->loop.raw(), &this->watcher);
}

IoWatcher::IoWatcher(Loop& on,
                     int descriptor,
                     int events,
                     std::function<void(int)> what)
    : loop(on), fd(descriptor), action(std::move(what)) {
  ev_io_init(
      &this->watcher,
      [](struct ev_loop*, ev_io* io, int revents) {
        static_cast<IoWatcher*>(io->data)->action(revents);
      },
      descriptor, events);
  this->watcher.data = this;
  ev_io_start(this->loop.raw(), &this->watcher);
}

IoWatcher::~IoWatcher() {
  this->Stop();
}

void IoWatcher::Stop() {
  ev_io_stop(this->loop.raw(), &this->watcher);
}

void IoWatcher::SetEvents(int events) {
  this->Stop();
  ev_io_set(&this->watcher, this->fd, events);
  ev_io_start(this->loop.raw(), &this->watcher);
}

PrepareWatcher::PrepareWatcher(Loop& on, std::function<void()> what)
    : loop(on), action(std::move(what)) {
  ev_prepare_init(&this->watcher,
                  [](struct ev_loop*, ev_prepare* prepare, int) {
                    static_cast<PrepareWatcher*>(prepare->data)->action();
                  });
  this->watcher.data = this;
  ev_prepare_start(this->loop.raw(), &this->watcher);
}

PrepareWatcher::~PrepareWatcher() {
  ev_prepare_stop(this->loop.raw(), &this->watcher);
}

Waker::Waker(Loop& on, std::function<void()> what)
    : loop(on), action(std::move(what)) {
  ev_async_init(&this->watcher, [](struct ev_loop*, ev_async* async, int) {
    static_cast<Waker*>(async->data)->action();
  });
  this->watcher.data = this;
  ev_async_start(this->loop.raw(), &this->watcher);
}

Waker::~Waker() {
  ev_async_stop(this->loop.raw(), &this->watcher);
}

void Waker::Wake() {
  ev_async_send(this->loop.raw(), &this->watcher);
}

SignalWatcher::SignalWatcher(Loop& on, int signal, std::function<void()> what)
    : loop(on), action(std::move(what)) {
  ev_signal_init(
      &this->watcher,
      [](struct ev_loop*, ev_signal* got, int) {
        static_cast<SignalWatcher*>(got->data)->action();
      },
      signal);
  this->watcher.data = this;
  ev_signal_start(this->loop.raw(), &this->watcher);
}

SignalWatcher::~SignalWatcher() {
  ev_signal_stop(this->loop.raw(), &this->watcher);
}

}  // namespace quartzhoist::base
