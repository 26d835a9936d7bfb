"""The shares of a tenant's allowance that its shard owner leases to quota clients.

A client admits requests by its share while the owner doesn't respond. Share sizes are fractions of the
allowance in units of 1 / `FULL_SHARE`.
"""

from __future__ import annotations

from collections.abc import Mapping

from gateway.quota.precedence_demand import SMOOTHING
from gateway.quota.protocol import FULL_SHARE, LEASE_MARGIN_S, NEVER, SHARE_S
from gateway.state_machine import Address

SIZE_TOLERANCE = 0.25  # a share is not changed while it is within this fraction of its target
YIELDING_TOLERANCE = 0.05  # the same for a share above its target, while a client with a target has no share
MIN_SIZE = 4  # size of the smallest share
MIN_USAGE = 0.05  # units per window below which a quota client is removed
SHARE_NUMBERS = 1 << 14  # share numbers are smaller than this, which keeps messages short


class ClientShare:
    """The units that one quota client may admit by itself, as an upper bound known to the owner.

    `spent` is the number of units that the client has reported as admitted by its share.
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
        self.size = 0  # current size of the lease
        self.former_size = 0  # size of the largest earlier share that the client may still be using
        self.number = 0  # 0 if there is no share
        self.expires_at = 0.0  # end of the lease, including a margin
        self.spent = spent
        self.demand = 0  # requests in the current window
        self.usage = 0.0  # moving average of the requests per window
        # When its units start to accrue in the pool of a count that is not open yet.
        self.accrues_from = NEVER
        self.was_raised = False  # whether this count has increased it

    @property
    def outstanding(self) -> int:
        """The largest size that the quota client may be using."""
        return self.size if self.size > self.former_size else self.former_size

    def end(self) -> None:
        """End the share: the quota client may no longer admit requests by it."""
        self.size = 0
        self.former_size = 0
        self.number = 0


class ShareAllocator:
    """The shares of one tenant's allowance by client, and their target sizes according to recent usage."""

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
        self.has_waiting_client = False  # whether a quota client has a target but no share
        self.outstanding = 0  # sum of the outstanding sizes of all shares
        self.has_unreported = False  # whether there may be unreported shares
        # Shares granted by an earlier owner, as first reported by each client, and their sum. The shares of
        # all other clients are at most the remainder.
        self.claimed_by_client: dict[Address, int] = {}
        self.claimed = 0
        self.next_number = first_number % SHARE_NUMBERS

    def share_of(self, client: Address, spent: int) -> ClientShare:
        """The state of a quota client's share, which is created if necessary."""
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
        """Apply a client's report of a share that was granted by an earlier owner."""
        previous = share.outstanding
        if client not in self.claimed_by_client and not share.was_raised:
            self.claimed_by_client[client] = size
            self.claimed += size
        if share.number == 0:
            share.size = size
            share.number = self._new_number()
            # An initial value until more of its usage has been observed:
            share.usage = max(share.usage, size / FULL_SHARE * allowance)
        share.former_size = max(share.former_size, size)
        share.expires_at = max(share.expires_at, now + expires_in_s + LEASE_MARGIN_S)
        self.outstanding += share.outstanding - previous

    def renew(self, now: float, client: Address, share: ClientShare, confirmed_number: int) -> bool:
        """Renew the lease of a client's share, and adjust its size towards the target.

        Args:
            now: Seconds of the owner's clock.
            client: The client's address.
            share: Its share.
            confirmed_number: Number of the newest share that the client has received from this owner;
                0: none.

        Returns:
            Whether another share must be sent to the client.
        """
        previous = share.outstanding
        if confirmed_number and not share.number:  # the client uses a share that is unknown here
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
        """Reduce a share immediately, or increase it as far as the other shares allow."""
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
        """Return a number for a new share, never 0."""
        self.next_number = self.next_number % (SHARE_NUMBERS - 1) + 1
        return self.next_number

    def update_targets(self, now: float) -> None:
        """Compute targets from recent usage and end expired shares; called at the start of a window."""
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
        """End a client's share because its process has ended.

        Returns:
            Whether the client had any state here.
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

    # Sizes needed by a count.

    def accrued_size(self, now: float, window_s: float) -> float:
        """The accrued part of all shares; each accrues evenly over a window from its own start time."""
        accruing = (share for share in self.by_client.values() if share.accrues_from < now)
        return sum(share.size * min(1.0, (now - share.accrues_from) / window_s) for share in accruing)

    def accruing_size(self, before: float) -> int:
        """The sum of the shares whose units start to accrue before a time."""
        return sum(share.size for share in self.by_client.values() if share.accrues_from < before)

    def reserved_size(
        self,
        has_unreported: bool,
        unresponsive: Mapping[Address, float],
        window_began_at: float,
        window_ends_at: float,
        window_s: float,
    ) -> float:
        """The size that quota clients may use in a window without the owner's knowledge.

        Args:
            has_unreported: Whether a client may have an unreported share from an earlier owner. Shares that
                were reported are not among these, whatever has happened to them since.
            unresponsive: The unresponsive clients, and the time of the last contact with each.
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
