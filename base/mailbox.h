// A task's mailbox: any thread posts, the task's own loop receives, in order.

#ifndef BASE_MAILBOX_H_
#define BASE_MAILBOX_H_

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "base/loop.h"

namespace quartzhoist::base {

template <typename Message>
class Mailbox {
 public:
  // `receive` runs on the thread of `loop`.
  Mailbox(Loop& loop, std::function<void(Message)> receive)
      : receive(std::move(receive)), waker(loop, [this] { this->Deliver(); }) {}

  void Post(Message message) {
    {
      const std::lock_guard<std::mutex> guard(this->lock);
      this->waiting.push_back(std::move(message));
    }
    this->waker.Wake();
  }

 private:
  void Deliver() {
    std::vector<Message> batch;
    {
      const std::lock_guard<std::mutex> guard(this->lock);
      batch.swap(this->waiting);
    }
    for (Message& message : batch)
      this->receive(std::move(message));
  }

  std::function<void(Message)> receive;
  std::mutex lock;
  std::vector<Message> waiting;
  Waker waker;
};

}  // namespace quartzhoist::base

#endif  // BASE_MAILBOX_H_
