package org.nutmegspring.limits

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class TokenBucketSpec {
    private val bucket = tokenBucket(BucketRate(10.0, 100.0), 100.0, MonotonicTime.ZERO)

    private fun at(seconds: Int) = MonotonicTime.ZERO + seconds.seconds

    @Nested
    inner class `given a refund` {
        private val mark = bucket.charge(80, at(0))

        @Test
        fun `it is credited in full if the bucket would not have overflowed`() {
            bucket.refund(30, mark, at(1))
            assertEquals(60, bucket.available(at(1)))
        }

        @Test
        fun `the part that would have overflowed since the charge is not credited`() {
            bucket.charge(90, at(7))
            bucket.refund(80, mark, at(7))
            assertEquals(10, bucket.available(at(7)))
        }

        @Test
        fun `an earlier refund counts as credited at the time of its charge`() {
            val second = bucket.charge(20, at(0))
            bucket.refund(60, mark, at(1))
            bucket.charge(60, at(4))
            bucket.refund(20, second, at(4))
            assertEquals(40, bucket.available(at(4)))
        }

        @Test
        fun `it is not credited if the capacity has changed since the charge`() {
            bucket.resize(BucketRate(10.0, 200.0), at(1))
            bucket.refund(80, mark, at(1))
            assertEquals(30, bucket.available(at(1)))
        }
    }

    @Nested
    inner class `given a reservation` {
        @Test
        fun `it occupies the bucket until it is released`() {
            bucket.reserve(60, at(0))
            assertEquals(40, bucket.available(at(9)))
            bucket.release(60, 20, at(9))
            assertEquals(60, bucket.available(at(9)))
            assertEquals(100, bucket.available(at(13)))
        }

        @Test
        fun `the level does not exceed a capacity that was reduced meanwhile`() {
            bucket.reserve(60, at(0))
            bucket.resize(BucketRate(10.0, 50.0), at(1))
            assertEquals(0, bucket.available(at(9)))
            bucket.release(60, 60, at(9))
            assertEquals(50, bucket.available(at(9)))
        }
    }
}
