#include "decision/peer/report_order.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
const VmId kSender("a");

}  // namespace

// Guards against an older copy that replaces a newer report, and against
// reports of one sender that are taken for those of another.
Test(report_order, rejects_only_older_reports_of_the_same_sender) {
  ReportOrder order;
  cr_assert(order.Accept(kSender, 5, kStart));
  cr_assert_not(order.Accept(kSender, 4, kStart));
  cr_assert(order.Accept(VmId("b"), 4, kStart));
  cr_assert(order.Accept(kSender, 6, kStart));
}

// Guards against ignoring a sender that restarted and counts from one again, or
// that does not number its reports.
Test(report_order, accepts_restarted_senders_and_unnumbered_reports) {
  ReportOrder order;
  cr_assert(order.Accept(kSender, 500, kStart));
  cr_assert(order.Accept(kSender, 0, kStart));
  cr_assert(order.Accept(kSender, 1, kStart + ReportOrder::kTrustTime));
  cr_assert(order.Accept(kSender, 2, kStart + ReportOrder::kTrustTime));
}

}  // namespace flamingoyoke
