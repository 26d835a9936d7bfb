"""The shares of a tenant's allowance that its shard owner leases to quota clients.

A share is what a client may admit by itself while the owner doesn't answer. Sizes of shares are in parts of
the allowance, of which there are `FULL_SHARE`.
"""

from __future__ import annotations

from collections.abc import Mapping

from gateway.quota.precedence_demand import SMOOTHING
from gateway.quota.protocol import FULL_SHARE, LEASE_MARGIN_S, NEVER, SHARE_S
from gateway.state_machine import Address

SIZE_TOLERANCE = 0.25  # a share is not changed while within this fraction of its target
YIELDING_TOLERANCE = 0.05  # the same for one above its target, while some client with a target has no share
MIN_SIZE = 4  # smallest share
MIN_USAGE = 0.05  # units a window below which a quota client is forgotten
SHARE_NUMBERS = 1 << 14  # numbers of shares are below this, which keeps messages short


class ClientShare:
    """What one quota client may admit by itself, as far as the owner can't rule it out.

    `spent` is the number of units that it has reported as admitted by share.
    """

    __slots__ = (
        "accrues_from",
        "demand",
        "expires_at",
        "former_size",
        "number",
        "size",
        "spent",
        "usage",
        "was_raised",
    )

    def __init__(self, spent: int) -> None:
        self.size = 0  # leased now
        self.former_size = 0  # the largest share that it may still use instead
        self.number = 0  # 0: there is no share
        self.expires_at = 0.0  # of the lease, with a margin
        self.spent = spent
        self.demand = 0  # requests in this window
        self.usage = 0.0  # their moving average a window
        self.accrues_from = NEVER  # from when its units accrue in the pool of a count that isn't open
        self.was_raised = False  # whether this count has raised it

    @property
    def outstanding(self) -> int:
        """The size by which the quota client may admit."""
        return self.size if self.size > self.former_size else self.former_size

    def end(self) -> None:
        """The quota client may admit nothing by its share any more."""
        self.size = 0
        self.former_size = 0
        self.number = 0


class ShareAllocator:
    """The shares of all quota clients in one tenant's allowance, and their targets by recent usage."""

    __slots__ = (
        "by_client",
        "claimed",
        "claimed_by_client",
        "has_unreported",
        "has_waiting_client",
        "next_number",
        "outstanding",
        "target_sizes",
    )

    def __init__(self, first_number: int) -> None:
        self.by_client: dict[Address, ClientShare] = {}
        self.target_sizes: dict[Address, int] = {}
        self.has_waiting_client = False  # whether some quota client has a target and no share
        self.outstanding = 0  # sum of all shares
        self.has_unreported = False  # whether there may be others that aren't reported
        # An earlier owner's shares, as each client first reported its own, and their sum: the shares of
        # other clients are within the rest.
        self.claimed_by_client: dict[Address, int] = {}
        self.claimed = 0
        self.next_number = first_number % SHARE_NUMBERS

    def share_of(self, client: Address, spent: int) -> ClientShare:
        """The state of a quota client's share, created if there is none."""
        share = self.by_client.get(client)
        if share is None:
            share = ClientShare(spent)
            self.by_client[client] = share
        return share

    def adopt_reported(
        self,
        now: float,
        client: Address,
        share: ClientShare,
        size: int,
        expires_in_s: float,
        allowance: float,
    ) -> None:
        """Take a client's report of a share that an earlier owner has granted."""
        previous = share.outstanding
        if client not in self.claimed_by_client and not share.was_raised:
            self.claimed_by_client[client] = size
            self.claimed += size
        if share.number == 0:
            share.size = size
            share.number = self._new_number()
            # Until more is seen of its usage:
            share.usage = max(share.usage, size / FULL_SHARE * allowance)
        share.former_size = max(share.former_size, size)
        share.expires_at = max(share.expires_at, now + expires_in_s + LEASE_MARGIN_S)
        self.outstanding += share.outstanding - previous

    def renew(self, now: float, client: Address, share: ClientShare, confirmed_number: int) -> bool:
        """Renew the lease of a client's share, and move the share towards its target.

        Args:
            now: Seconds of the owner's clock.
            client: The client's address.
            share: Its share.
            confirmed_number: The newest share that the client has of this owner; 0: none.

        Returns:
            Whether the client must be sent another share.
        """
        previous = share.outstanding
        if confirmed_number and not share.number:  # it admits by a share that isn't known here
            share.number = self._new_number()
        if confirmed_number == share.number:
            share.former_size = 0
            self.outstanding += share.outstanding - previous
        target = self.target_sizes.get(client, share.size)
        yields = self.has_waiting_client and target < share.size
        tolerance = YIELDING_TOLERANCE if yields else SIZE_TOLERANCE
        if abs(target - share.size) > tolerance * share.size + 2:
            self._change_size(share, target)
        share.expires_at = now + SHARE_S + LEASE_MARGIN_S
        return share.number not in (0, confirmed_number)

    def _change_size(self, share: ClientShare, target: int) -> None:
        """Lower a share at once, or raise it as far as the other shares leave room."""
        previous = share.outstanding
        if target > previous:
            most = self.claimed if self.has_unreported else FULL_SHARE
            target = min(target, previous + max(0, most - self.outstanding))
            share.was_raised = share.was_raised or target > previous
        if target == share.size:
            return
        share.former_size = max(share.former_size, share.size)
        share.size = target
        share.number = self._new_number()
        self.outstanding += share.outstanding - previous

    def _new_number(self) -> int:
        """A number for a new share, never 0."""
        self.next_number = self.next_number % (SHARE_NUMBERS - 1) + 1
        return self.next_number

    def update_targets(self, now: float) -> None:
        """At the start of a window, compute targets from recent usage, and end expired shares."""
        total = 0.0
        for client, share in list(self.by_client.items()):
            share.usage += SMOOTHING * (share.demand - share.usage)
            share.demand = 0
            if now >= share.expires_at and share.outstanding:
                self.outstanding -= share.outstanding
                share.end()
            if not share.outstanding and share.usage < MIN_USAGE:
                del self.by_client[client]
            total += share.usage
        scale = FULL_SHARE / total if total else 0.0
        sizes = {client: int(share.usage * scale) for client, share in self.by_client.items()}
        self.target_sizes = {client: size if size >= MIN_SIZE else 0 for client, size in sizes.items()}
        self.has_waiting_client = any(
            target and not self.by_client[client].outstanding for client, target in self.target_sizes.items()
        )

    def end(self, client: Address) -> bool:
        """A quota client's process has ended: it has no share any more.

        Returns:
            Whether anything was known of it.
        """
        share = self.by_client.get(client)
        if share is None:
            return False
        self.outstanding -= share.outstanding
        share.end()
        share.spent = 0
        share.expires_at = 0.0
        share.accrues_from = NEVER
        return True

    # Sizes that a count needs.

    def accrued_size(self, now: float, window_s: float) -> float:
        """What has accrued of the shares that accrue evenly over a window, each from its own time on."""
        accruing = (share for share in self.by_client.values() if share.accrues_from < now)
        return sum(share.size * min(1.0, (now - share.accrues_from) / window_s) for share in accruing)

    def accruing_size(self, before: float) -> int:
        """The sum of the shares whose units begin to accrue before a time."""
        return sum(share.size for share in self.by_client.values() if share.accrues_from < before)

    def reserved_size(
        self,
        has_unreported: bool,
        unresponsive: Mapping[Address, float],
        window_began_at: float,
        window_ends_at: float,
        window_s: float,
    ) -> float:
        """What quota clients may admit by their shares in a window, out of the owner's sight.

        Args:
            has_unreported: Some client may have a share of an earlier owner that it hasn't reported. What
                clients have reported, whatever became of it since, is none of these.
            unresponsive: The unresponsive clients, and when each was last heard.
            window_began_at: Start of the window.
            window_ends_at: End of the window.
            window_s: Length of the window.
        """
        size = float(max(0, FULL_SHARE - self.claimed)) if has_unreported else 0.0
        for client, heard_at in unresponsive.items():
            share = self.by_client.get(client)
            if share is not None and share.expires_at > window_began_at:
                size += share.outstanding * min(1.0, max(0.0, (window_ends_at - heard_at) / window_s))
        return size
