#include <sstream>
#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "base/ini_file.h"
#include "daemon/settings.h"

namespace quartzhoist::daemon {
namespace {

constexpr const char* kGood =
    "[daemon]\nid = e1\nzone = z\ncluster = c\n"
    "[listen]\ncallers = 127.0.0.1:1\noperators = 127.0.0.1:2\n"
    "peers = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n";

std::string ErrorOf(const std::string& text) {
  std::istringstream in(text);
  try {
    ReadSettings(in, "s.ini");
  } catch (const base::TextError& error) {
    return error.what();
  }
  return "";
}

BOOST_AUTO_TEST_CASE(GoodSettingsAreRead) {
  std::istringstream in(std::string(kGood) +
                        "[peers]\nseeds = 10.0.0.1:3, 10.0.0.2:3\n");
  const Settings settings = ReadSettings(in, "s.ini");
  BOOST_TEST(settings.id == "e1");
  BOOST_TEST(settings.seeds.size() == 2u);
  BOOST_TEST(settings.stop_seconds == 30);
}

BOOST_AUTO_TEST_CASE(ErrorsNameFileLineAndKey) {
  const std::string good = kGood;
  BOOST_TEST(ErrorOf(good + "colour = red\n") ==
             "s.ini:11: [platform] colour: there is no such key");
  BOOST_TEST(ErrorOf(good + "[limits]\nstop_seconds = 0\n") ==
             "s.ini:12: [limits] stop_seconds: '0' is not a whole number from "
             "1 to 3600");
  BOOST_TEST(ErrorOf(good + "[limits]\nstop_seconds = soon\n")
                 .starts_with("s.ini:12: [limits] stop_seconds: 'soon'"));
  BOOST_TEST(ErrorOf(good + "[daemon]\nid = e2\n") ==
             "s.ini:12: [daemon] id: the key stands twice");
  BOOST_TEST(ErrorOf(good + "[peers]\nseeds = nowhere\n")
                 .starts_with("s.ini:12: [peers] seeds: 'nowhere'"));
  BOOST_TEST(ErrorOf("[daemon]\nid = e1\n") ==
             "s.ini: [daemon] zone: the key is missing");
  BOOST_TEST(ErrorOf("nonsense\n").starts_with("s.ini:1:"));
}

RC_BOOST_PROP(AnySettingsAreReadOrRefused, ()) {
  ErrorOf(std::string(kGood) +
          *rc::gen::container<std::string>(rc::gen::element(
              '[', ']', '=', '\n', 'i', 'd', ' ', ';', '\0', '9', ':', '.')));
}

}  // namespace
}  // namespace quartzhoist::daemon
