/*
 * Exit codes of carawayctl, which scripts rely on, and the errors that lead to them.
 */
package io.carawaytrack.ctl

import io.carawaytrack.model.Failure
import io.carawaytrack.tables.Fault

internal enum class ExitCode(
    val code: Int,
    val meaning: String,
) {
    Done(0, "The command did what was asked."),
    Refused(1, "Control refused the request; nothing was changed."),
    Usage(2, "The command line, a file that it names or a table is invalid; nothing was sent."),
    Unreachable(3, "No leading control host answered in time; a change may have been accepted all the same."),
    NotInForce(4, "The change was accepted, but is not known to be in force everywhere."),
}

/** Describes why a command failed. */
internal sealed interface CtlError {
    val exit: ExitCode
    val message: String

    /** The command line or a file that it names is invalid. */
    data class Usage(
        override val message: String,
    ) : CtlError {
        override val exit = ExitCode.Usage
    }

    /** The table files contain [faults]. */
    data class FaultyTables(
        val faults: List<Fault>,
    ) : CtlError {
        override val exit = ExitCode.Usage
        override val message = "${faults.size} faults"
    }

    /** Control answered with [failure]. */
    data class Refused(
        val failure: Failure,
    ) : CtlError {
        override val exit = ExitCode.Refused
        override val message = "refused: ${failure.kind}: ${failure.detail}"
    }

    /** No leading control host answered in time. */
    data class Unreachable(
        override val message: String,
    ) : CtlError {
        override val exit = ExitCode.Unreachable
    }
}
