package org.nutmegspring.gateway.peers

/** Counts the bytes of the reports that this instance exchanges with the others, without the headers of the network. */
class ExchangeTraffic {
    /** Bytes sent since the process started. */
    var sentBytes: Long = 0
        private set

    /** Bytes received since the process started. */
    var receivedBytes: Long = 0
        private set

    /** The size of the last report that was sent, in bytes. */
    var reportBytes: Int = 0
        private set

    /** Records that a report of [bytes] was sent to [targets] instances. */
    fun recordSent(bytes: Int, targets: Int) {
        reportBytes = bytes
        sentBytes += bytes.toLong() * targets
    }

    /** Records that a report of [bytes] was received. */
    fun recordReceived(bytes: Int) {
        receivedBytes += bytes
    }
}
