/*
 * A rate that all hosts of a fleet share, lent by need. Divided evenly, the part of an idle host is lost, and hosts
 * with 0.2 to 1 processors need very different parts. Each host has a smallest part without asking; the rest is lent
 * for a short time by one lender, the leader of the fleet.
 *
 * The parts in use never exceed the whole rate. A borrower counts a loan's time from before it asked, on the monotonic
 * and the wall clock, and the lender books it for longer than that. A new lender lends nothing until all loans of its
 * predecessor have ended, and each loan needs a recent confirmation by a quorum that the lender still leads.
 */
package io.carawaytrack.limits

/** Part of the rate that the hosts use without a loan, divided evenly. */
private const val SMALLEST_RATIO = 0.25

/**
 * Part of the rate that is lent. What is left of the whole covers hosts that count fewer hosts than there are, up to a
 * fifth, while hosts are added.
 */
private const val LENT_RATIO = 0.70

/** Number of hosts that a host assumes which has heard of no other host and has never had a loan. */
private const val ASSUMED_HOSTS = 64

/** Time for which a loan may be used: three requests for loans. */
public const val LOAN_VALID_MILLIS: Long = 1_500

/** Time for which a loan is booked. The margin covers the confirmation's age and a wall clock stepped back by 2 s. */
public const val LOAN_BOOKED_MILLIS: Long = LOAN_VALID_MILLIS + 3_000

/** Age up to which a confirmation of the lead counts. */
private const val CONFIRMATION_VALID_MILLIS = 500L

/**
 * Part of the shared rate that a host may use until the loan ends.
 *
 * @property hosts number of hosts that asked the lender recently
 */
public data class RateLoan(
    val perSecond: Double,
    val hosts: Int,
)

/** Lends parts of the rate [wholePerSecond]; created when the host begins to lead. */
public class RateLender(
    wholePerSecond: Double,
    private val nowMillis: () -> Long,
) {
    private class Booking(
        val perSecond: Double,
        val untilMillis: Long,
    )

    private class Need(
        val perSecond: Double,
        val statedAtMillis: Long,
    )

    private val lentPerSecond = wholePerSecond * LENT_RATIO
    private val lendsFromMillis = nowMillis() + LOAN_BOOKED_MILLIS
    private val bookings = HashMap<String, MutableList<Booking>>()
    private val needs = HashMap<String, Need>()

    /**
     * Returns a loan for [host], which needs [neededPerSecond] beyond its smallest part; [leadConfirmedAtMillis] is the
     * start of the newest confirmation by a quorum. The loan is zero if nothing can be lent now.
     */
    public fun lend(
        host: String,
        neededPerSecond: Double,
        leadConfirmedAtMillis: Long,
    ): RateLoan {
        val now = nowMillis()
        needs[host] = Need(if (neededPerSecond > 0) neededPerSecond else 0.0, now)
        needs.values.removeIf { now - it.statedAtMillis > LOAN_VALID_MILLIS }
        val isConfirmed = now - leadConfirmedAtMillis <= CONFIRMATION_VALID_MILLIS
        if (!isConfirmed || now < lendsFromMillis) return RateLoan(0.0, needs.size)
        bookings.values.forEach { booked -> booked.removeIf { it.untilMillis < now } }
        bookings.values.removeIf { it.isEmpty() }
        val bookedByOthers = bookings.filterKeys { it != host }.values.sumOf(::booked)
        val granted = minOf(fairPart(host), maxOf(0.0, lentPerSecond - bookedByOthers))
        // An earlier loan of the same host is replaced once the new one arrives, so only the larger one counts.
        bookings.getOrPut(host) { ArrayList() } += Booking(granted, now + LOAN_BOOKED_MILLIS)
        return RateLoan(granted, needs.size)
    }

    private fun booked(loans: List<Booking>) = loans.maxOf { it.perSecond }

    /** Returns the part of [host] when all get what they need up to a common limit. */
    private fun fairPart(host: String): Double {
        var remaining = lentPerSecond
        var hostsLeft = needs.size
        var limit = 0.0
        for (need in needs.values.map { it.perSecond }.sorted()) {
            limit = remaining / hostsLeft
            if (need > limit) break
            limit = need
            remaining -= need
            hostsLeft--
        }
        return minOf(needs.getValue(host).perSecond, limit)
    }
}

/** The part of the rate [wholePerSecond] that one host may use. */
public class BorrowedRate(
    private val wholePerSecond: Double,
    private val nowMillis: () -> Long,
    private val wallMillis: () -> Long,
) {
    /** When a loan was asked for, on both clocks. */
    public class Request internal constructor(
        internal val atMillis: Long,
        internal val atWallMillis: Long,
    )

    private var loan = RateLoan(0.0, ASSUMED_HOSTS)
    private var request: Request? = null

    /** Returns the moment from which the loan that is asked for now counts. */
    public fun ask(): Request = Request(nowMillis(), wallMillis())

    /** Records the [loan] that was asked for by [asked], unless a loan that was asked for later is known. */
    public fun receive(
        asked: Request,
        loan: RateLoan,
    ) {
        val latest = request
        if (latest != null && latest.atMillis > asked.atMillis) return
        this.loan = loan
        request = asked
    }

    /** Returns the part that this host, one of [hosts] that it knows, may use without a loan. */
    public fun smallestPerSecond(hosts: Int): Double {
        val counted = if (hosts > 1 && request == null) hosts else maxOf(1, hosts, loan.hosts)
        return wholePerSecond * SMALLEST_RATIO / counted
    }

    /** Returns the part that this host, one of [hosts] that it knows, may use now. */
    public fun perSecond(hosts: Int): Double = smallestPerSecond(hosts) + (if (isValid) loan.perSecond else 0.0)

    private val isValid: Boolean
        get() {
            val asked = request ?: return false
            val ageMillis = maxOf(nowMillis() - asked.atMillis, wallMillis() - asked.atWallMillis)
            return ageMillis < LOAN_VALID_MILLIS
        }
}
