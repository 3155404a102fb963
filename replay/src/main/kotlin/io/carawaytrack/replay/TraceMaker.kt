/*
 * Makes traces from a seed: arrivals without memory at the scenario's rate, organisations of unlike size, sessions of a
 * few turns, and a caller's reading time where the scenario asks for slow readers.
 */
package io.carawaytrack.replay

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/**
 * Makes the trace of [scenario] on [deployment] from [seed]; nothing is measured for [warmUpMillis], and then for
 * [lengthMillis].
 */
public fun generateTrace(
    deployment: Deployment,
    scenario: Scenario,
    seed: Long,
    lengthMillis: Long = scenario.measuredMillis,
    warmUpMillis: Long = scenario.warmUpMillis,
): Trace {
    val header =
        TraceHeader(
            origin = TraceOrigin.Seed,
            deployment = deployment,
            scenario = scenario,
            seed = seed,
            warmUpMillis = warmUpMillis,
            endMillis = warmUpMillis + lengthMillis,
        )
    return Trace(header, TraceMaker(header, Random(seed)).requests())
}

private class TraceMaker(
    private val header: TraceHeader,
    private val random: Random,
) {
    private val spec = specOf(header.deployment)
    private var sessions = 0

    fun requests(): List<TraceRequest> {
        val made = usual() + if (header.scenario == Scenario.Flood) flood() else emptyList()
        return made.sortedBy { it.atMillis }.mapIndexed { index, request -> request.copy(id = index) }
    }

    private fun usual(): List<TraceRequest> =
        arrivals(0.0, header.endMillis.toDouble(), spec.peakPerSecond * header.scenario.loadRatio).flatMap { atMillis ->
            conversation(atMillis, drawTraffic(), drawOrganisation())
        }

    private fun flood(): List<TraceRequest> {
        val from = header.warmUpMillis + FLOOD_START_MILLIS
        val until = minOf(from + FLOOD_MILLIS, header.endMillis)
        return arrivals(from.toDouble(), until.toDouble(), spec.peakPerSecond * FLOOD_LOAD).map { atMillis ->
            request(
                atMillis,
                spec.traffic.first(),
                organisationName(FLOODING_NUMBER),
                session = null,
            ).copy(flood = true)
        }
    }

    private fun arrivals(
        fromMillis: Double,
        untilMillis: Double,
        perSecond: Double,
    ): List<Double> = buildList {
        var atMillis = fromMillis + gapMillis(perSecond)
        while (atMillis < untilMillis) {
            add(atMillis)
            atMillis += gapMillis(perSecond)
        }
    }

    private fun gapMillis(perSecond: Double) = -ln(1.0 - random.nextDouble()) / perSecond * MILLIS_PER_SECOND

    /** Returns one request, or the turns of a session; sessions start the more rarely, the more turns they have. */
    private fun conversation(
        atMillis: Double,
        traffic: RouteTraffic,
        organisation: String,
    ): List<TraceRequest> {
        if (traffic.sessionTurns == 1) return listOf(request(atMillis, traffic, organisation, session = null))
        if (random.nextInt(traffic.sessionTurns) != 0) return emptyList()
        val session = "session-${sessions++}"
        var turnAtMillis = atMillis
        return List(traffic.sessionTurns) {
            val turn = request(turnAtMillis, traffic, organisation, session)
            turnAtMillis += TURN_MILLIS * (1 + random.nextDouble())
            turn
        }.filter { it.atMillis < header.endMillis }
    }

    private fun request(
        atMillis: Double,
        traffic: RouteTraffic,
        organisation: String,
        session: String?,
    ): TraceRequest {
        val answerTokens = traffic.answerTokens.random(random).toLong()
        return TraceRequest(
            id = 0,
            atMillis = atMillis.toLong(),
            organisation = organisation,
            route = traffic.route.name,
            promptTokens = traffic.promptTokens.random(random).toLong(),
            answerTokens = answerTokens,
            difficulty = random.nextDouble().pow(traffic.difficultyPower),
            session = session,
            readMillis = readMillis(answerTokens),
        )
    }

    private fun readMillis(answerTokens: Long): Long {
        val slow = header.scenario == Scenario.SlowReaders && random.nextBoolean()
        return if (slow) answerTokens * SLOW_READ_MILLIS_PER_TOKEN else 0
    }

    private fun drawTraffic(): RouteTraffic {
        var left = random.nextDouble()
        return spec.traffic.firstOrNull {
            left -= it.share
            left < 0
        } ?: spec.traffic.last()
    }

    private fun drawOrganisation(): String {
        val large = random.nextDouble() < LARGE_SHARE
        val number = if (large) random.nextInt(LARGE_COUNT) else random.nextInt(LARGE_COUNT, ORGANISATION_COUNT)
        return organisationName(number)
    }

    private companion object {
        const val LARGE_SHARE = 0.5
        const val TURN_MILLIS = 20_000.0
        const val SLOW_READ_MILLIS_PER_TOKEN = 100L
        const val FLOOD_START_MILLIS = 120_000L
        const val FLOOD_MILLIS = 180_000L
        const val FLOOD_LOAD = 2.0
        const val FLOODING_NUMBER = 0
    }
}
