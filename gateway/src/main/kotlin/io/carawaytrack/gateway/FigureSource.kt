/*
 * Figures that the gateways of a fleet exchange, as only their sum over all hosts is meaningful.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.HostFigures

/** Provides the figures of this host and receives those of the others. */
public interface FigureSource {
    /** Returns this host's own figures of which only the sum over all hosts is meaningful. */
    public fun takeFigures(): HostFigures

    /** Applies the sum of the figures of the other hosts. */
    public fun applyFigures(others: HostFigures)
}
