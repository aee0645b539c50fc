#include <criterion/criterion.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "integration/soak/caller_connection.h"
#include "integration/support/blocking_http.h"
#include "integration/support/child_process.h"
#include "integration/support/published_fleet.h"
#include "integration/support/standins.h"
#include "integration/support/wait_until.h"
#include "standins/common/answer_body.h"

namespace flamingoyoke::integration {
namespace {

using standin::MakeAnswerBody;

constexpr auto kWaitTimeout = std::chrono::seconds(60);
constexpr auto kShortTimeout = std::chrono::milliseconds(500);

TestSuite(standins, .fini = &ChildProcess::KillAll, .timeout = 240);

auto MakeWorkCall(int port, const std::string& id, int service_ms) -> HttpCall {
  HttpCall call;
  call.server = Loopback(port);
  call.target =
      "/work?bytes=100&id=" + id + "&service_ms=" + std::to_string(service_ms);
  return call;
}

// Guards against a stand-in that runs more requests concurrently than it has
// slots, which would hide queueing in all other tests.
Test(standins, upstream_keeps_to_its_slots) {
  BlockingHttp http;
  Upstream upstream({"--slots", "2"});
  for (int index = 0; index < 6; ++index) {
    http.StartCall(MakeWorkCall(upstream.port(), std::to_string(index), 20));
  }
  const auto answers = http.WaitForAll();
  for (int index = 0; index < 6; ++index) {
    cr_assert_eq(answers[index].status, 200);
    cr_assert_eq(answers[index].body,
                 MakeAnswerBody(std::to_string(index), "", 100));
  }
  const auto counters = upstream.Counters(http);
  cr_assert_eq(counters["executed"].get<int>(), 6);
  cr_assert_eq(counters["max_in_flight"].get<int>(), 2);
  cr_assert_eq(counters["by_id"]["3"].get<int>(), 1);
}

// Guards against shed work that is counted as run.
Test(standins, upstream_sheds_without_running) {
  BlockingHttp http;
  Upstream upstream;
  upstream.SetBehaviour(http, R"({"shed": true, "drain": true})");
  const auto answer = http.Send(MakeWorkCall(upstream.port(), "a", 1));
  cr_assert_eq(answer.status, 503);
  cr_assert_eq(answer.Header("Flamingoyoke-Not-Run"), "1");
  cr_assert_eq(answer.Header("Flamingoyoke-Drain"), "1");
  cr_assert_eq(upstream.Counters(http)["executed"].get<int>(), 0);
}

// Guards against a gray upstream whose probe fails too, which would not be
// gray.
Test(standins, gray_upstream_passes_probes) {
  BlockingHttp http;
  Upstream upstream;
  upstream.SetBehaviour(http, R"({"gray_share": 1, "reported_load": 0.25})");
  const auto answer = http.Send(MakeWorkCall(upstream.port(), "a", 1));
  cr_assert_eq(answer.status, 500);
  cr_assert(std::stod(answer.Header("Flamingoyoke-Load")) == 0.25);
  cr_assert_eq(http.Get(upstream.port(), "/healthz").status, 200);
  upstream.SetBehaviour(http, R"({"gray_kind": "reset"})");
  cr_assert_eq(http.Send(MakeWorkCall(upstream.port(), "b", 1)).status, 0);
  upstream.SetBehaviour(http, R"({"gray_kind": "hang"})");
  auto call = MakeWorkCall(upstream.port(), "c", 1);
  call.timeout = kShortTimeout;
  cr_assert_eq(http.Send(call).status, 0);
  cr_assert_eq(upstream.Counters(http)["failed"].get<int>(), 3);
}

// Guards against misspelt behaviour fields that are silently ignored.
Test(standins, upstream_refuses_unknown_behaviour) {
  BlockingHttp http;
  Upstream upstream;
  for (const auto* fields :
       {"{\"slotz\": 1}", "{\"gray_kind\": \"grey\"}", "[]", "x"}) {
    const auto answer = http.Put(upstream.port(), "/control/behaviour", fields);
    cr_assert_eq(answer.status, 400, "%s", fields);
  }
}

// Guards against a platform whose watches or modes differ from the interface in
// the design page.
Test(standins, platform_watches_and_modes) {
  BlockingHttp http;
  Platform platform;
  cr_assert_eq(http.Get(platform.port(), "/v1/config/table").status, 404);
  platform.Publish(http, "table", "one");
  const auto first = http.Get(platform.port(), "/v1/config/table");
  cr_assert_eq(first.body, "one");
  cr_assert_eq(first.Header("X-Revision"), "1");
  const std::string watch = "/v1/config/table?wait_after=1&timeout_ms=";
  cr_assert_eq(http.Get(platform.port(), watch + "1").status, 304);

  HttpCall call;
  call.server = Loopback(platform.port());
  call.target = watch + "60000";
  http.StartCall(call);
  cr_assert(WaitUntil(
      [&] {
        http.RunFor(std::chrono::milliseconds(1));
        BlockingHttp other;
        return platform.Counters(other)["waiting"].get<int>() == 1;
      },
      kWaitTimeout));
  BlockingHttp publisher;
  platform.SetMode(publisher, "stale");
  platform.Publish(publisher, "table", "two");
  cr_assert_eq(publisher.Get(platform.port(), "/v1/config/table").body, "one");
  platform.SetMode(publisher, "normal");
  const auto answer = http.WaitForAll().front();
  cr_assert_eq(answer.body, "two");
  cr_assert_eq(answer.Header("X-Revision"), "2");

  platform.SetMode(publisher, "down");
  cr_assert_eq(publisher.Get(platform.port(), "/v1/config/table").status, 503);
}

// Guards against a proxy that lets bytes through a cut or loses them.
Test(standins, proxy_cuts_one_direction_and_heals) {
  BlockingHttp http;
  Upstream upstream;
  Proxy proxy(upstream.port());
  cr_assert_eq(http.Send(MakeWorkCall(proxy.port(), "a", 1)).status, 200);
  proxy.Inject(http, "kind=cut&direction=to-client");
  auto call = MakeWorkCall(proxy.port(), "b", 1);
  http.StartCall(call);
  BlockingHttp other;
  cr_assert(WaitUntil(
      [&] {
        http.RunFor(std::chrono::milliseconds(1));
        return upstream.Counters(other)["answered"].get<int>() == 2;
      },
      kWaitTimeout));
  proxy.Inject(other, "kind=none");
  const auto answer = http.WaitForAll().front();
  cr_assert_eq(answer.status, 200);
  cr_assert_eq(answer.body, MakeAnswerBody("b", "", 100));
}

// Guards against the `silent` fault ending on existing connections or affecting
// new ones.
Test(standins, proxy_silences_open_connections_for_good) {
  BlockingHttp http;
  Upstream upstream;
  Proxy proxy(upstream.port());
  cr_assert_eq(http.Send(MakeWorkCall(proxy.port(), "a", 1)).status, 200);
  BlockingHttp control;
  proxy.Inject(control, "kind=silent");
  proxy.Inject(control, "kind=none");
  auto call = MakeWorkCall(proxy.port(), "b", 1);
  call.timeout = kShortTimeout;
  cr_assert_eq(http.Send(call).status, 0);
  BlockingHttp fresh;
  cr_assert_eq(fresh.Send(MakeWorkCall(proxy.port(), "c", 1)).status, 200);
  cr_assert_eq(upstream.Counters(control)["by_id"].count("b"), 0);
}

// Guards against faults that reach the client as complete answers.
Test(standins, proxy_delays_truncates_resets_and_refuses) {
  BlockingHttp http;
  Upstream upstream;
  Proxy proxy(upstream.port());
  proxy.Inject(http, "kind=delay&delay_ms=100");
  const auto start = std::chrono::steady_clock::now();
  cr_assert_eq(http.Send(MakeWorkCall(proxy.port(), "a", 1)).status, 200);
  cr_assert(std::chrono::steady_clock::now() - start >=
            std::chrono::milliseconds(200));
  proxy.Inject(http, "kind=none");
  proxy.Inject(http, "kind=partial&direction=to-client&bytes=150");
  cr_assert_eq(http.Send(MakeWorkCall(proxy.port(), "b", 1)).status, 0);
  proxy.Inject(http, "kind=none");
  cr_assert_eq(http.Send(MakeWorkCall(proxy.port(), "c", 1)).status, 200);
  proxy.Inject(http, "kind=refuse");
  cr_assert_eq(http.Send(MakeWorkCall(proxy.port(), "d", 1)).status, 0);
  proxy.Inject(http, "kind=none");
  cr_assert_eq(http.Send(MakeWorkCall(proxy.port(), "e", 1)).status, 200);
  cr_assert_eq(upstream.Counters(http)["by_id"].count("d"), 0);
}

// Guards against a load generator whose schedule differs between runs with the
// same seed, or that accepts the answer to another request.
Test(standins, load_is_repeatable_and_checks_answers) {
  BlockingHttp http;
  Upstream upstream({"--slots", "8"});
  const std::vector<std::string> arguments = {"--direct",
                                              Loopback(upstream.port()).text,
                                              "--rate",
                                              "200",
                                              "--seconds",
                                              "1",
                                              "--service-ms",
                                              "1",
                                              "--swing",
                                              "0.5:1:2",
                                              "--long-share",
                                              "0.2",
                                              "--long-body-bytes",
                                              "1000",
                                              "--seed",
                                              "7"};
  auto run = [&] {
    ChildProcess load(ProgramPath("tests/standins/load"), arguments);
    return nlohmann::json::parse(load.ReadAll(kWaitTimeout));
  };
  const auto first = run();
  const auto second = run();
  cr_assert_eq(first["requests"], second["requests"]);
  for (const auto* name : {"short", "long"}) {
    const auto& result = first["direct"][name];
    cr_assert_gt(result["sent"].get<int>(), 0);
    cr_assert_eq(result["sent"], result["ok"]);
    cr_assert_eq(result["sent"], second["direct"][name]["sent"]);
    cr_assert_eq(result["wrong_body"].get<int>(), 0);
  }
  cr_assert_eq(upstream.Counters(http)["executed"].get<int>(),
               2 * first["requests"].get<int>());
}

// Guards against requests that count as late at a target since they wait there.
Test(standins, target_tells_arrivals_from_runs) {
  BlockingHttp http;
  ChildProcess target(ProgramPath("tests/standins/standin_target"),
                      {"--id", "i-0", "--service-ms", "300", "--slots", "1"});
  const auto port = target.ReadNumber("port", kStartTimeout);
  for (const auto* id : {"a", "b"}) {
    http.StartCall(
        {.server = Loopback(port), .headers = {{"X-Request-Id", id}}});
  }
  http.WaitForAll();
  const auto counters =
      nlohmann::json::parse(http.Get(port, "/control/counters").body);
  const auto& waited = counters.at("log").at(1);
  const auto& arrival = counters.at("arrivals").at(1);
  cr_assert_eq(arrival.at("id"), waited.at("id"));
  cr_assert_geq(waited.at("start_us").get<std::int64_t>() -
                    arrival.at("at_us").get<std::int64_t>(),
                100'000);
}

// Guards against a stand-in that ignores SIGTERM and keeps running after its
// test.
Test(standins, ends_on_sigterm) {
  Upstream upstream;
  upstream.process().Signal(SIGTERM);
  cr_assert_eq(upstream.process().WaitForExit(kWaitTimeout), 0);
}

// Guards against a lossy link that drops or reorders bytes instead of delaying
// them.
Test(standins, proxy_delays_lost_bytes) {
  BlockingHttp http;
  Upstream upstream;
  Proxy proxy(upstream.port());
  proxy.Inject(http, "kind=loss&share=1");
  const auto start = std::chrono::steady_clock::now();
  const auto answer = http.Send(MakeWorkCall(proxy.port(), "a", 1));
  // One delay of 200 ms at least in each direction.
  cr_assert(std::chrono::steady_clock::now() - start >=
            std::chrono::milliseconds(400));
  cr_assert_eq(answer.body, MakeAnswerBody("a", "", 100));
}

// Guards against a target mode that looks like another one on the wire, which
// would leave its case unplayed.
Test(standins, target_modes_differ_on_the_wire) {
  struct Expected {
    const char* mode;
    int answers_to_half;
    int answers;
    bool has_ended;
  };
  for (const auto& expected :
       {Expected{"normal", 0, 2, false}, Expected{"early", 1, 2, false},
        Expected{"cut", 0, 0, true}, Expected{"cut-reset", 0, 0, true},
        Expected{"last-answer", 0, 1, true}, Expected{"no-length", 0, 1, true},
        Expected{"no-length-reset", 0, 0, true},
        Expected{"drop-idle", 0, 1, true}}) {
    BlockingHttp http;
    RegisteredStandin target(http, "i-0", "orders", 1, 0);
    int answers = 0;
    bool has_ended = false;
    EventLoop loop;
    auto timer = loop.MakeTimer([&] { loop.Quit(); });
    const auto run = [&] {
      timer.Schedule(kShortTimeout);
      loop.Run();
    };
    CallerConnection caller(loop, Loopback(target.port()),
                            {.on_answer =
                                 [&](const standin::HttpAnswer& answer) {
                                   ++answers;
                                   cr_assert_eq(answer.body, "body of a");
                                 },
                             .on_sent = [] {},
                             .on_end = [&] { has_ended = true; }});
    const std::string half(50'000, 'x');
    const std::string head =
        " / HTTP/1.1\r\nHost: a\r\nX-Request-Id: a\r\nContent-Length: ";
    caller.Send("GET" + head + "0\r\n\r\n");
    run();
    cr_assert_eq(std::exchange(answers, 0), 1);
    target.SetMode(http, expected.mode);
    caller.Send("POST" + head + "100000\r\n\r\n");
    caller.Send(half);
    run();
    cr_assert_eq(answers, expected.answers_to_half, "%s", expected.mode);
    caller.Send(half);
    run();
    if (!has_ended) {
      caller.Send("GET" + head + "0\r\n\r\n");
      run();
    }
    cr_assert_eq(answers, expected.answers, "%s", expected.mode);
    cr_assert_eq(has_ended, expected.has_ended, "%s", expected.mode);
  }
}

}  // namespace
// Guards against a store that keeps what it should lose in a return, which
// would hide faults of the fleet in all other tests.
Test(standins, store_returns_from_its_copy) {
  BlockingHttp http;
  ChildProcess store(ProgramPath("tests/standins/standin_store"), {});
  const auto port = store.ReadNumber("port", kStartTimeout);
  const auto list = [&] { return http.Get(port, "/flamingoyoke/kv-range"); };
  const auto watch = [&](const std::string& after) {
    return http.Get(port, "/flamingoyoke/kv-watch?wait_ms=1&after=" + after);
  };
  cr_assert_eq(http.Put(port, "/control/return").status, 400);
  http.Put(port, "/control/item?key=a", "1");
  http.Put(port, "/control/copy");
  http.Put(port, "/control/item?key=a", "2");
  http.Put(port, "/control/item?key=b", "3");
  cr_assert_eq(list().Header("Store-Era"), "1");
  http.Put(port, "/control/return?away_ms=300");
  cr_assert_eq(list().status, 0);
  cr_assert(WaitUntil([&] { return list().status == 200; }, kWaitTimeout));
  cr_assert_eq(list().Header("Store-Era"), "2");
  const auto body = nlohmann::json::parse(list().body);
  cr_assert_eq(body["as_of"], 2);
  cr_assert_eq(body["items"].size(), 1);
  cr_assert_eq(body["items"][0]["value"], "MQ==");
  cr_assert_eq(watch("4").status, 410);
  cr_assert_eq(watch("4").Header("Store-Era"), "2");
  cr_assert_eq(watch("2").status, 200);
  http.Put(port, "/control/era?value=7x");
  cr_assert_eq(list().Header("Store-Era"), "7x");
  http.Put(port, "/control/era?value=");
  cr_assert_eq(list().Header("Store-Era"), "");
}

}  // namespace flamingoyoke::integration
