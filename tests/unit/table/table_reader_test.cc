#include "table/table_reader.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <variant>

#include "core/random.h"
#include "table/fault_list.h"

namespace flamingoyoke {
namespace {

constexpr int kMutatedTables = 20'000;
constexpr const char* kHeader =
    "service,route,targets,slots,connections,home,floor,deadline_ms,"
    "repeatable,key,queue,team_rate,team_burst,long_bytes,long_share,"
    "max_body_bytes,retry,hedge_ms\n";
constexpr const char* kStockRow =
    "stock,/stock;/prices,10.0.0.1:8080*2@a; 10.0.0.2:8080@b,2,330,4,0.6,800,"
    "yes,none,500,50,100,4096,0.25,65536,0.1,40\n";

auto Read(const std::string& text) -> ReadTableResult {
  return ReadTable(text, Revision(7));
}

auto FaultsOf(const std::string& text) -> TableFaults {
  const auto result = Read(text);
  const auto* faults = std::get_if<TableFaults>(&result);
  return faults != nullptr ? *faults : TableFaults();
}

// Returns whether `text` is rejected with a fault for `value` in `row` and
// `column`.
auto HasFault(const std::string& text,
              std::size_t row,
              const std::string& column,
              const std::string& value) -> bool {
  const auto faults = FaultsOf(text);
  return std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
    return fault.row == row && fault.column == column && fault.value == value &&
           !fault.reason.empty();
  });
}

// Returns a table with one row in which `column` is `cell`.
auto TableWithCell(const std::string& column, const std::string& cell)
    -> std::string {
  return "service,route,targets,repeatable," + column +
         "\nstock,/stock,10.0.0.1:80,yes," + cell + "\n";
}

auto TableWithTargets(const std::string& targets) -> std::string {
  return "service,route,targets,repeatable\nstock,/stock," + targets + ",yes\n";
}

auto TableWithRoute(const std::string& route) -> std::string {
  return "service,route,targets,repeatable\nstock," + route +
         ",10.0.0.1:80,yes\n";
}

// Each column must be read into its own field.
Test(table_reader, reads_every_column) {
  const auto result = Read(std::string(kHeader) + kStockRow);
  cr_assert(std::holds_alternative<Table>(result));
  const auto& table = std::get<Table>(result);
  cr_assert(table.revision == Revision(7));
  cr_assert_eq(table.rows.size(), 1);
  ServiceRow row;
  row.service = ServiceId("stock");
  row.routes = {"/stock", "/prices"};
  row.targets = {
      {TargetId("10.0.0.1:8080"), "10.0.0.1", 8080, 2, FailureDomainId("a")},
      {TargetId("10.0.0.2:8080"), "10.0.0.2", 8080, 1, FailureDomainId("b")}};
  row.slots = 2;
  row.connections = 330;
  row.home = 4;
  row.floor = 0.6;
  row.deadline = std::chrono::milliseconds(800);
  row.repeatable = true;
  row.key_policy = KeyPolicy::kNone;
  row.queue_limit = 500;
  row.team_rate = 50;
  row.team_burst = 100;
  row.long_bytes = 4096;
  row.long_share = 0.25;
  row.max_body_bytes = 65536;
  row.retry_share = 0.1;
  row.hedge_delay = std::chrono::milliseconds(40);
  cr_assert(table.rows.front() == row);
}

// Without a key column, non-repeatable requests must require a key; otherwise
// they run without protection against duplicates.
Test(table_reader, non_repeatable_service_requires_key_by_default) {
  const auto result = Read(
      "service,route,targets,repeatable\n"
      "book,/book,10.0.0.1:80,no\nstock,/stock,10.0.0.1:80,yes\n");
  const auto& rows = std::get<Table>(result).rows;
  cr_assert(rows[0].key_policy == KeyPolicy::kRequired);
  cr_assert(rows[1].key_policy == KeyPolicy::kNone);
}

// A non-repeatable service must not be configured without a key.
Test(table_reader, rejects_key_none_for_non_repeatable_service) {
  cr_assert(HasFault(
      "service,route,targets,repeatable,key\nbook,/book,10.0.0.1:80,no,none\n",
      2, "key", "none"));
}

// Hedging runs requests twice, so it must be rejected for non-repeatable ones.
Test(table_reader, rejects_hedging_of_non_repeatable_service) {
  cr_assert(HasFault(
      "service,route,targets,repeatable,hedge_ms\nb,/b,10.0.0.1:80,no,5\n", 2,
      "hedge_ms", "5"));
}

// A misspelled column must be a fault; otherwise its values are ignored.
Test(table_reader, rejects_unknown_repeated_and_missing_columns) {
  cr_assert(HasFault(TableWithCell("flor", "0.5"), 1, "flor", "flor"));
  cr_assert(HasFault(TableWithCell("route", "/x"), 1, "route", "route"));
  cr_assert(HasFault("service,route,targets\ns,/s,10.0.0.1:80\n", 1,
                     "repeatable", ""));
}

// Two rows must not match the same requests.
Test(table_reader, rejects_duplicate_services_and_ambiguous_routes) {
  const std::string header = "service,route,targets,repeatable\n";
  cr_assert(HasFault(header + "s,/a,10.0.0.1:80,yes\ns,/b,10.0.0.1:80,yes\n", 3,
                     "service", "s"));
  cr_assert(HasFault(header + "s,/a,10.0.0.1:80,yes\nt,/a,10.0.0.1:80,yes\n", 3,
                     "route", "/a"));
  cr_assert(HasFault(header + "s,/a,10.0.0.1:80,yes\nt,/a/,10.0.0.1:80,yes\n",
                     3, "route", "/a/"));
  cr_assert(HasFault(TableWithRoute("/a;/a"), 2, "route", "/a"));
}

// A longer prefix of a different route is not ambiguous and must be accepted.
Test(table_reader, accepts_nested_routes) {
  cr_assert(FaultsOf(TableWithRoute("/;/a;/a/b")).empty());
}

// Routes that match no request or the fleet's reserved paths must be rejected.
Test(table_reader, rejects_bad_routes) {
  for (const auto* route :
       {"a", "//a", "/a//b", "/a/../b", "/.", "/a?b", "/%61", "/a b",
        "/.flamingoyoke", "/.flamingoyoke/keys"}) {
    cr_assert(HasFault(TableWithRoute(route), 2, "route", route), "%s", route);
  }
  cr_assert(HasFault(TableWithRoute(""), 2, "route", ""));
}

// Addresses that need a name lookup or cannot be connected to must be rejected.
Test(table_reader, rejects_bad_addresses) {
  for (const auto* target : {"localhost:80",
                             "10.0.0.1",
                             "10.0.0.1:0",
                             "10.0.0.1:65536",
                             "10.0.0.256:80",
                             "10.0.0:80",
                             "10.0.0.01:80",
                             "::1:80",
                             "[::1:80",
                             "[10.0.0.1]:80",
                             "10.0.0.1:+80",
                             "10.0.0.1:",
                             ":80",
                             "10.0.0.1:80*0",
                             "10.0.0.1:80*-1",
                             "10.0.0.1:80*nan",
                             "10.0.0.1:80*1e1",
                             "10.0.0.1:80*101",
                             "10.0.0.1:80*",
                             "10.0.0.1:80@",
                             "10.0.0.1:80@a@b",
                             "10.0.0.1:80@a b"}) {
    cr_assert(HasFault(TableWithTargets(target), 2, "targets", target), "%s",
              target);
  }
}

// The brackets of IPv6 addresses must be removed from the host, as socket
// libraries do not accept them.
Test(table_reader, reads_ipv6_targets) {
  const auto result = Read(TableWithTargets("[::1]:80*0.5@a"));
  const auto& target = std::get<Table>(result).rows.front().targets.front();
  cr_assert_eq(target.host, "::1");
  cr_assert_eq(target.id.value(), "[::1]:80");
}

// A target must not be listed twice, even with different spellings of its
// address.
Test(table_reader, rejects_duplicate_targets) {
  cr_assert(HasFault(TableWithTargets("10.0.0.1:80@a;10.0.0.1:80@b"), 2,
                     "targets", "10.0.0.1:80@b"));
  cr_assert(HasFault(TableWithTargets("[::1]:80;[0:0::1]:80"), 2, "targets",
                     "[0:0::1]:80"));
  cr_assert(
      HasFault(TableWithTargets("10.0.0.1:80;"), 2, "targets", "10.0.0.1:80;"));
  cr_assert(HasFault(TableWithTargets(""), 2, "targets", ""));
}

struct BadCell {
  const char* column;
  const char* cell;
};

// Values outside the documented ranges must be rejected.
Test(table_reader, rejects_values_outside_ranges) {
  const BadCell bad_cells[] = {
      {"slots", "0"},
      {"slots", "1025"},
      {"slots", "2.5"},
      {"slots", "-1"},
      {"connections", "0"},
      {"connections", "100001"},
      {"home", "0"},
      {"home", "25"},
      {"floor", "1.01"},
      {"floor", "-0.1"},
      {"floor", "inf"},
      {"floor", "half"},
      {"deadline_ms", "0"},
      {"deadline_ms", "600001"},
      {"key", "maybe"},
      {"queue", "0"},
      {"queue", "100001"},
      {"team_rate", "1000001"},
      {"team_burst", "5"},
      {"long_bytes", "256000001"},
      {"long_share", "1.5"},
      {"max_body_bytes", "0"},
      {"max_body_bytes", "18446744073709551616"},
      {"retry", "2"},
      {"hedge_ms", "1000"},
  };
  for (const auto& bad : bad_cells) {
    cr_assert(
        HasFault(TableWithCell(bad.column, bad.cell), 2, bad.column, bad.cell),
        "%s = %s", bad.column, bad.cell);
  }
  cr_assert(
      HasFault("service,route,targets,repeatable\ns,/s,10.0.0.1:80,maybe\n", 2,
               "repeatable", "maybe"));
  cr_assert(
      HasFault("service,route,targets,repeatable,slots,connections\n"
               "s,/s,10.0.0.1:80,yes,8,4\n",
               2, "connections", "4"));
}

// The end points of a range must be accepted.
Test(table_reader, accepts_the_ends_of_ranges) {
  const BadCell good_cells[] = {
      {"slots", "1"},      {"slots", "1024"},       {"home", "24"},
      {"floor", "0"},      {"floor", "1"},          {"deadline_ms", "1"},
      {"team_burst", "0"}, {"long_bytes", "0"},     {"hedge_ms", "999"},
      {"queue", "100000"}, {"max_body_bytes", "1"}, {"slots", ""},
  };
  for (const auto& good : good_cells) {
    cr_assert(FaultsOf(TableWithCell(good.column, good.cell)).empty(),
              "%s = %s", good.column, good.cell);
  }
}

// Validation must not stop at the first fault.
Test(table_reader, lists_all_faults) {
  const auto faults = FaultsOf(
      "service,route,targets,repeatable,slots,floor\n"
      "bad name,/s,10.0.0.1:80,yes,0,2\n"
      "t,no-slash,nowhere:1,perhaps,1,1\n");
  cr_assert_eq(faults.size(), 6);
}

// Row numbers must equal those shown by a spreadsheet, for all line endings.
Test(table_reader, counts_rows_like_a_spreadsheet) {
  const std::string bad_row = "s,/s,10.0.0.1:80,maybe";
  for (const auto* newline : {"\n", "\r\n", "\r"}) {
    const std::string text = std::string("\xEF\xBB\xBFservice,route,") +
                             "targets,repeatable" + newline + newline +
                             bad_row + newline;
    cr_assert(HasFault(text, 3, "repeatable", "maybe"));
  }
}

// Rows with missing or extra cells must be rejected; otherwise cells shift into
// other columns.
Test(table_reader, rejects_rows_of_another_length) {
  const std::string header = "service,route,targets,repeatable\n";
  cr_assert(HasFault(header + "s,/s,10.0.0.1:80\n", 2, "", ""));
  cr_assert(HasFault(header + "s,/s,10.0.0.1:80,yes,1\n", 2, "", ""));
}

// Incomplete, malformed and oversized input must be rejected.
Test(table_reader, rejects_text_that_is_not_a_table) {
  cr_assert_not(FaultsOf("").empty());
  cr_assert_not(FaultsOf(kHeader).empty());
  cr_assert_not(FaultsOf(std::string(kHeader) + "a\"b,\"c").empty());
  cr_assert_not(FaultsOf(std::string(kHeader) + "\"open").empty());
  cr_assert_not(FaultsOf(std::string(kMaxTableBytes + 1, 'x')).empty());
}

// Control characters of a table must not be written to a terminal.
Test(table_reader, shows_values_without_control_characters) {
  const auto faults = FaultsOf(TableWithCell("slots", "\x1b[31m\xff"));
  cr_assert_eq(faults.front().value, "?[31m?");
  const auto long_faults =
      FaultsOf(TableWithCell("slots", std::string(5000, '9')));
  cr_assert_lt(long_faults.front().value.size(), 200);
}

// Memory and time must stay proportional to the input size.
Test(table_reader, limits_memory_and_time_of_malicious_tables) {
  const std::string commas(kMaxTableBytes, ',');
  cr_assert_not(FaultsOf(commas).empty());
  std::string rows = kHeader;
  while (rows.size() + 2 <= kMaxTableBytes) {
    rows += "x\n";
  }
  cr_assert_leq(FaultsOf(rows).size(), FaultList::kMaxFaults + 1);
  cr_assert_not(
      FaultsOf(TableWithTargets(std::string(kMaxTableBytes - 100, ';')))
          .empty());
}

// Mutated tables must not cause crashes. The fuzz target covers more inputs.
Test(table_reader, handles_mutated_tables) {
  const std::string good = std::string(kHeader) + kStockRow;
  Random random(1);
  for (int iteration = 0; iteration < kMutatedTables; ++iteration) {
    auto text = good;
    const auto changes = 1 + random.Below(4);
    for (std::uint64_t change = 0; change < changes; ++change) {
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    }
    const auto result = Read(text);
    const auto* faults = std::get_if<TableFaults>(&result);
    cr_assert(faults == nullptr || !faults->empty());
  }
}

}  // namespace
}  // namespace flamingoyoke
