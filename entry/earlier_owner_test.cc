// Questions to earlier owners of a shard, and what their answers prove.

#include <chrono>
#include <csignal>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/earlier_owner.h"
#include "http/server.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

http::ClientResult Answer(int status, const std::string& body) {
  http::ClientResult result;
  result.verdict = base::Verdict::kRan;
  result.response.status = status;
  result.response.body = body;
  return result;
}

// Guards against a task that runs twice: an owner that is cut off, slow or on a
// box without power was taken for one that grants no more leases.
BOOST_AUTO_TEST_CASE(OnlyAnAnswerProvesThatAnOwnerIsOver) {
  BOOST_TEST(SaysNotOwner(Answer(200, FormatOwnerAnswer(false))));
  BOOST_TEST(!SaysNotOwner(Answer(200, FormatOwnerAnswer(true))));
  BOOST_TEST(!SaysNotOwner(http::ClientResult()));
  http::ClientResult cut = Answer(200, FormatOwnerAnswer(false));
  cut.verdict = base::Verdict::kMayHaveRun;
  BOOST_TEST(!SaysNotOwner(cut));
  for (const char* body : {"", "{}", "[]", "{\"owner\":0}", "{\"owner\":null}"})
    BOOST_TEST(!SaysNotOwner(Answer(200, body)));
  // Another program, or an earlier version, at that address.
  BOOST_TEST(!SaysNotOwner(Answer(404, FormatOwnerAnswer(false))));
}

BOOST_AUTO_TEST_CASE(OwnerQuestionIsReadAsItIsWritten) {
  const OwnerQuestion question{.shard = 3, .epoch = 12};
  const auto parsed = ParseOwnerQuestion(FormatOwnerQuestion(question));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->shard == 3);
  BOOST_TEST(parsed->epoch == 12U);
  for (const char* target : {"/owner", "/owner?shard=1", "/owner?epoch=1",
                             "/owner?shard=x&epoch=1", "/metrics"})
    BOOST_TEST(!ParseOwnerQuestion(target).has_value());
}

struct AskedOwner {
  // Asks for at most `patience`; the server, if any, answers `is_owner`.
  void Ask(bool has_server, base::Micros patience) {
    std::uint16_t port = 0;
    auto server = std::make_unique<http::Server>(
        this->loop, http::ServerOptions{},
        [this](const http::ExchangePtr& exchange) {
          ++this->questions;
          exchange->Reply(
              http::JsonResponse(200, FormatOwnerAnswer(this->is_owner)));
        });
    port = server->port();
    if (!has_server)
      server.reset();
    const EarlierOwner asked(
        this->loop, this->client, "127.0.0.1:" + std::to_string(port), {},
        base::MonotonicNow() + patience, [this] { this->has_ended = true; });
    const base::Micros until =
        base::MonotonicNow() + patience + milliseconds(600);
    base::Timer tick(this->loop, [&] {
      if (this->has_ended || base::MonotonicNow() > until)
        this->loop.Stop();
      this->is_owner = this->is_owner && this->questions < this->owner_until;
    });
    tick.StartEvery(milliseconds(10));
    this->loop.Run();
  }

  base::Loop loop;
  http::Client client{loop};
  bool is_owner = true;
  int owner_until = 1000;
  int questions = 0;
  bool has_ended = false;
};

// Guards against a task that runs twice: the owner was cut off by something
// that refused connections in its place, and renewed its leases.
BOOST_AUTO_TEST_CASE(RefusedConnectionDoesNotProveThatAnOwnerIsOver) {
  AskedOwner asked;
  asked.Ask(false, milliseconds(1200));
  BOOST_TEST(!asked.has_ended);
}

// An owner that lives is asked again, until it has lost the shard.
BOOST_AUTO_TEST_CASE(OwnerThatLivesIsAskedUntilItHasLostTheShard) {
  AskedOwner asked;
  asked.owner_until = 2;
  asked.Ask(true, seconds(10));
  BOOST_TEST(asked.has_ended);
  BOOST_TEST(asked.questions == 3);
}

BOOST_AUTO_TEST_CASE(OwnerIsNotAskedOnceItsLeasesAreOver) {
  AskedOwner asked;
  asked.Ask(true, milliseconds(700));
  BOOST_TEST(!asked.has_ended);
  BOOST_TEST(asked.questions == 2);
}

}  // namespace
}  // namespace quartzhoist::entry
