"""Reports of the quota plane: a log record of counts every 5 s, metrics, and fields of the status.

The record stays in the log ring like all INFO records; with `--counts`, the program writes it immediately.
"""

from __future__ import annotations

import logging
from itertools import accumulate
from typing import Protocol

from gateway.drift.metrics import Metric
from gateway.quota.decision_statistics import BUCKET_EDGES, DECISION_LABELS, LATENCY_LABELS
from gateway.quota.quota_client import QuotaClient
from gateway.quota.shard_owner import ShardOwner
from gateway.quota.view_audit import CounterComparison
from gateway.state_machine import Address

QUOTA_LOGGER = "gateway.quota_report"
QUOTA_METRIC_PREFIX = "gateway_allowance_"
REPORT_INTERVAL_S = 5.0
MAX_VIEW_AGE_S = 1e8  # an older view was never reported

log = logging.getLogger(QUOTA_LOGGER)


class QuotaReport(Protocol):
    """The quota plane's part of `GET /-/status` and `GET /-/metrics`."""

    def status(self, now: float) -> dict[str, object]:
        """Fields to be added to the status."""

    def metrics(self, now: float) -> list[Metric]:
        """Metrics to be added to the scrape."""


class _PeriodicReport:
    """Logs the changes since the last record every 5 s; an idle process logs nothing."""

    def __init__(self, me: Address) -> None:
        self.me = me
        self.due = 0.0

    def tick(self, now: float) -> None:
        """Log a record if one is due."""
        if now >= self.due:
            self.report(now)

    def report(self, now: float) -> None:
        """Log a record now if anything has changed."""
        self.due = now + REPORT_INTERVAL_S
        if changes := self.changes(now):
            log.info({"node": self.me, **changes})

    def changes(self, now: float) -> dict[str, object]:
        """The fields of the record; empty if nothing has changed."""
        raise NotImplementedError


class ClientReport(_PeriodicReport):
    """Report of a quota client: how requests were decided, and how long the decisions took."""

    def __init__(self, me: Address, quota_client: QuotaClient) -> None:
        super().__init__(me)
        self.quota_client = quota_client
        self.decided: dict[tuple[str, int], list[int]] = {}  # as of the last record
        self.times = [[0] * len(counts) for counts in quota_client.statistics.times]
        self.refunded = 0

    def changes(self, now: float) -> dict[str, object]:
        """The changes since the last record.

        `charged` has the counts by `DECISION_LABELS` for each tenant and precedence, `times` the counts by
        bucket number for each of `LATENCY_LABELS`, and `back` the number of refunded units.
        """
        statistics = self.quota_client.statistics
        charged = dict[str, dict[int, list[int]]]()
        for key, counts in statistics.decided.items():
            before = self.decided.get(key)
            if before != counts:
                more = [n - b for n, b in zip(counts, before or [0] * len(DECISION_LABELS), strict=True)]
                charged.setdefault(key[0], {})[key[1]] = more
                self.decided[key] = list(counts)
        back, self.refunded = statistics.refunded - self.refunded, statistics.refunded
        if not charged and not back:
            return {}
        times = {}
        for n, counts in enumerate(statistics.times):
            if self.times[n] != counts:
                more = [c - b for c, b in zip(counts, self.times[n], strict=True)]
                times[LATENCY_LABELS[n]] = {k: c for k, c in enumerate(more) if c}
                self.times[n] = list(counts)
        return {"charged": charged, "times": times, "back": back}

    def status(self, now: float) -> dict[str, object]:
        """Each tenant's allowance, last reported remaining units and their age, and this client's share."""
        return {
            "allowance": [
                {
                    "tenant": tenant,
                    "allowance": round(allowance, 2),
                    "remaining": remaining,
                    "age-s": round(age, 3),
                    "share": round(share, 2),
                }
                for tenant, (remaining, age, allowance, share) in sorted(self.quota_client.views(now).items())
                if age < MAX_VIEW_AGE_S
            ]
        }

    def metrics(self, now: float) -> list[Metric]:
        """Counts by kind of decision, and histograms of the time in seconds added by charges."""
        statistics = self.quota_client.statistics
        totals = [
            sum(counts[n] for counts in statistics.decided.values()) for n in range(len(DECISION_LABELS))
        ]
        help = "Requests of limited tenants, by how they were decided."
        found = [
            Metric("charged_total", help, n, f'way="{way}"')
            for way, n in zip(DECISION_LABELS, totals, strict=True)
        ]
        found.append(Metric("given_back_total", "Units given back.", statistics.refunded))
        name = "charge_seconds"
        help = "Time that the charge added to a request."
        for way, counts, seconds in zip(LATENCY_LABELS, statistics.times, statistics.seconds, strict=True):
            label = f'way="{way}"'
            sums = list(accumulate(counts))
            found += [
                Metric(f"{name}_bucket", help, n, f'{label},le="{edge}"')
                for edge, n in zip((*(f"{edge:.4g}" for edge in BUCKET_EDGES), "+Inf"), sums, strict=True)
            ]
            found += [
                Metric(f"{name}_sum", help, seconds, label),
                Metric(f"{name}_count", help, sums[-1], label),
            ]
        return found


class OwnerReport(_PeriodicReport):
    """Report of a shard owner: the remaining units of each count, and whether all views agree."""

    def __init__(self, me: Address, shard_owner: ShardOwner) -> None:
        super().__init__(me)
        self.shard_owner = shard_owner
        self.reported = (0, 0, 0)  # shards gained, shards lost and units refunded, as of the last record

    def compared(self, now: float) -> list[CounterComparison]:
        """Each tenant counted here, with all views of its count."""
        return self.shard_owner.view_audit.compare(now, self.shard_owner.counter_states(now))

    def changes(self, now: float) -> dict[str, object]:
        """The changes since the last record.

        `held` has for each tenant its allowance, remaining and reserved units, the number of views, their
        largest difference, the most units by which a view is outside of what was reported, and the age of the
        oldest view in seconds. `gained` and `lost` are numbers of shards, and `back` is the number of
        refunded units.
        """
        view_audit = self.shard_owner.view_audit
        counts = view_audit.gained_shards, view_audit.lost_shards, view_audit.refunded
        gained, lost, back = (n - b for n, b in zip(counts, self.reported, strict=True))
        self.reported = counts
        counters = {
            c.tenant: [
                round(c.allowance, 2),
                round(c.remaining, 2),
                round(c.reserved, 2),
                len(c.views),
                max((v.difference for v in c.views), default=0),
                beyond(c),
                round(max((v.age_s for v in c.views), default=0.0), 2),
            ]
            for c in self.compared(now)
        }
        if not counters and not gained and not lost:
            return {}
        return {"held": counters, "gained": gained, "lost": lost, "back": back}

    def status(self, now: float) -> dict[str, object]:
        """Each tenant counted here, with each node's view of its count."""
        return {
            "allowance": [
                {
                    "tenant": c.tenant,
                    "allowance": round(c.allowance, 2),
                    "remaining": round(c.remaining, 2),
                    "kept": round(c.reserved, 2),
                    "views": [
                        {
                            "node": v.node,
                            "view": v.remaining,
                            "age-s": round(v.age_s, 3),
                            "beyond": v.outside_by,
                        }
                        for v in c.views
                    ],
                }
                for c in self.compared(now)
            ]
        }

    def metrics(self, now: float) -> list[Metric]:
        """The remaining units of each count, and the differences of the views."""
        found = self.compared(now)
        labels = []
        for c in found:
            name = c.tenant.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
            labels.append((f'tenant="{name}"', c))
        view_audit = self.shard_owner.view_audit
        return [
            *(Metric("units", "Units that a tenant may use in a window.", c.allowance, t) for t, c in labels),
            *(Metric("remaining_units", "Units that remain in it.", c.remaining, t) for t, c in labels),
            *(
                Metric("kept_back_units", "Units kept back for ingresses that are silent.", c.reserved, t)
                for t, c in labels
            ),
            Metric("views", "Ingresses' views of the counts held here.", sum(len(c.views) for c in found)),
            Metric(
                "worst_difference_units",
                "Largest difference of a view, old as it is, to what remains.",
                max((v.difference for c in found for v in c.views), default=None),
            ),
            Metric(
                "worst_disagreement_units",
                "Units by which a view is beyond what was said in its time.",
                max((beyond(c) for c in found), default=0),
            ),
            Metric("given_back_total", "Units given back.", view_audit.refunded),
            Metric(
                "parts_gained_total", "Parts of the tenants, of 64, that came here.", view_audit.gained_shards
            ),
            Metric(
                "parts_lost_total", "Parts that went elsewhere, or whose lease ended.", view_audit.lost_shards
            ),
        ]


def beyond(c: CounterComparison) -> int:
    """The most units by which a view of a count is outside of what its owner has reported."""
    return max((v.outside_by or 0 for v in c.views), default=0)
