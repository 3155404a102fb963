/*
 * A straight line through measured points, with the error of the fit.
 */
package io.carawaytrack.bench

import kotlinx.serialization.Serializable
import kotlin.math.sqrt

/** One measurement: [y] at size [x]. */
@Serializable
public data class Point(
    val x: Double,
    val y: Double,
)

/**
 * Holds a fitted line.
 *
 * @property slope growth of y for each unit of x
 * @property rootMeanSquareError of the points about the line, in the unit of y
 */
@Serializable
public data class Line(
    val slope: Double,
    val intercept: Double,
    val rootMeanSquareError: Double,
)

/** Fits a line by least squares; throws `IllegalArgumentException` for fewer than two different sizes. */
public fun fit(points: List<Point>): Line {
    val meanX = points.map(Point::x).average()
    val meanY = points.map(Point::y).average()
    val spread = points.sumOf { (it.x - meanX) * (it.x - meanX) }
    require(spread > 0) { "expected at least two different sizes, got ${points.map(Point::x)}" }
    val slope = points.sumOf { (it.x - meanX) * (it.y - meanY) } / spread
    val intercept = meanY - slope * meanX
    val squares = points.map { it.y - intercept - slope * it.x }.map { it * it }
    return Line(slope, intercept, sqrt(squares.average()))
}

/** Names a measured slope. */
@Serializable
public data class SlopeReport(
    val name: String,
    val unit: String,
    val points: List<Point>,
    val line: Line,
)

internal fun slopeReport(
    name: String,
    unit: String,
    points: List<Point>,
): SlopeReport = SlopeReport(name, unit, points, fit(points))
