#ifndef FLAMINGOYOKE_DECISION_QUOTA_QUOTA_TIMING_H_
#define FLAMINGOYOKE_DECISION_QUOTA_QUOTA_TIMING_H_

#include <chrono>
#include <cstddef>

#include "core/time.h"

namespace flamingoyoke {

// Shares, periods and bounds of quotas. In 5 s all gateways together may run
// (5 R + B) * 1.25 + 20 requests of a team with rate R and burst B. The keeper
// leases 1.05 R and at most B + R/2 of saved requests; the rest of the
// tolerance is divided below.

// Share of a team's limit that gateways use without asking, all together.
inline constexpr double kUnaskedShare = 0.1;
// Requests that gateways run without asking in addition, all together: at once,
// and per second. In 5 s these are at most 17.5 of the 20 that are allowed, and
// they cover most of what a small team sends, whose few requests would
// otherwise cause a message each.
inline constexpr double kUnaskedBurst = 10;
inline constexpr double kUnaskedRate = 1.5;
// Share of a limit that a VM leases which is not the team's keeper in its own
// view: the gateway cannot reach the keeper, or views differ.
inline constexpr double kSubstituteShare = 0.1;
// Saved requests beyond the burst, as time at the team's rate.
inline constexpr Duration kSavedTime = std::chrono::milliseconds(500);

// Number of VMs that keep the quotas of all teams.
inline constexpr std::size_t kQuotaKeepers = 4;

// Leases outlast the detection of a lost keeper, 2 s. The lease of a lost
// gateway blocks its part of the limit for this long.
inline constexpr Duration kQuotaLeaseTime = std::chrono::seconds(20);
inline constexpr Duration kQuotaRenewAge = std::chrono::seconds(10);
// A new keeper learns the leases of the previous one within this time, in which
// it leases at most this share of a limit besides them: gateways whose view is
// older still use leases that it does not know.
inline constexpr Duration kQuotaSettleTime = std::chrono::seconds(3);
inline constexpr double kSettleShare = 0.15;
// A new keeper to which all gateways that it knows have told their leases waits
// only this long. Gateways that became ready at the same moment, in a start of
// all VMs, get to know each other in this time.
inline constexpr Duration kQuotaToldTime = std::chrono::milliseconds(500);
// So does one that started within kStartTime, if all gateways that it knows
// started at most kStartedTogetherTime before or after it by their clocks.
inline constexpr Duration kStartTime = std::chrono::seconds(3);
inline constexpr Duration kStartedTogetherTime = std::chrono::seconds(5);
// A gateway tells its leases again if a keeper has not answered for this long.
inline constexpr Duration kQuotaTellPeriod = std::chrono::milliseconds(200);

// The keeper divides slightly more than the limit, as gateways leave a part of
// what they get unused. Five seconds of it are all that the shares above leave
// of the tolerance.
inline constexpr double kGrantedShare = 1.05;

// Share of a limit that is leased; the rest refills the bucket, for gateways
// with few requests and for random peaks, which leases cannot follow.
inline constexpr double kLeasedShare = 0.75;
// Requests saved up by a lease: this number and those of this time, so that
// random gaps between a few requests do not cause a message.
inline constexpr Duration kLeaseSavedTime = std::chrono::milliseconds(300);
inline constexpr double kMinLeaseSaved = 3;
// Gateways with a lower rate of a team get a few requests at a time instead,
// since what a random gap leaves unused of a lease is lost to the team.
inline constexpr double kMinLeaseRate = 1.5;

// Time that a request may wait for a lease: a recall and an answer take two
// round trips, which are short beside it also after a lost packet.
inline constexpr Duration kMaxQuotaWait = std::chrono::milliseconds(300);
inline constexpr std::size_t kMaxQuotaWaiting = 2000;
// A keeper that does not answer in this time is asked again.
inline constexpr Duration kQuotaAnswerTimeout = std::chrono::milliseconds(140);
// A keeper without any answer for this long is replaced by the next one for
// some time.
inline constexpr Duration kKeeperSilence = std::chrono::seconds(1);
inline constexpr Duration kKeeperRetryPeriod = std::chrono::seconds(5);
// Period in which a gateway asks again while the team is at its limit. Spread
// by up to a half, since all its gateways ask.
inline constexpr Duration kScarcePeriod = std::chrono::milliseconds(200);
// Time until a gateway asks again after its keeper recalled leases for it.
inline constexpr Duration kRecallTime = std::chrono::milliseconds(20);
inline constexpr Duration kRecallPeriod = std::chrono::milliseconds(100);
// Requests of one loop iteration share a message.
inline constexpr Duration kQuotaBatchDelay = std::chrono::milliseconds(1);

// Averaging times of the demand of a team at one gateway.
inline constexpr Duration kFastDemandTime = std::chrono::milliseconds(300);
inline constexpr Duration kSlowDemandTime = std::chrono::seconds(8);
// Requests that the slow average must hold before it says anything.
inline constexpr double kMinDemandSamples = 3;
// A lease is smaller than the demand, so that it is used up; the keeper's
// bucket grants the rest, several requests at a time.
inline constexpr double kDemandMargin = 0.9;

// Teams that are not used for this long are forgotten.
inline constexpr Duration kQuotaIdleTime = std::chrono::seconds(30);
// About 300 bytes each at a gateway and 100 for each lease at a keeper.
inline constexpr std::size_t kMaxTrackedTeams = 8192;

inline constexpr Duration kMinQuotaRetry = std::chrono::milliseconds(200);
inline constexpr Duration kMaxQuotaRetry = std::chrono::seconds(10);

// How long a lost entry keeps its part of the limits: it may be alive on the
// other side of a cut. As long as the membership remembers it.
inline constexpr Duration kLostEntryMemory = std::chrono::minutes(10);

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_QUOTA_QUOTA_TIMING_H_
