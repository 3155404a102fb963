/*
 * Linear regression over measured points, with the error of the fit.
 */
package io.carawaytrack.bench

import kotlinx.serialization.Serializable
import kotlin.math.sqrt

/** Describes a measurement of [y] at size [x]. */
@Serializable
public data class Point(
    val x: Double,
    val y: Double,
)

/**
 * Describes a fitted line.
 *
 * @property slope increase of y per unit of x
 * @property rootMeanSquareError root mean square of the residuals, in the unit of y
 */
@Serializable
public data class Line(
    val slope: Double,
    val intercept: Double,
    val rootMeanSquareError: Double,
)

/** Fits a line by least squares; throws `IllegalArgumentException` for fewer than two distinct sizes. */
public fun fit(points: List<Point>): Line {
    val meanX = points.map(Point::x).average()
    val meanY = points.map(Point::y).average()
    val sumOfSquaresX = points.sumOf { (it.x - meanX) * (it.x - meanX) }
    require(sumOfSquaresX > 0) { "expected at least two distinct sizes, got ${points.map(Point::x)}" }
    val slope = points.sumOf { (it.x - meanX) * (it.y - meanY) } / sumOfSquaresX
    val intercept = meanY - slope * meanX
    val squaredResiduals = points.map { it.y - intercept - slope * it.x }.map { it * it }
    return Line(slope, intercept, sqrt(squaredResiduals.average()))
}

/** Reports a measured slope with its points and the fitted line. */
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
