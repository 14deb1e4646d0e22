package org.nutmegspring.execution

import org.nutmegspring.configuration.Service
import java.net.URLDecoder

/**
 * Whether a call of [service] may run again.
 *
 * Different spellings of a path (escapes, repeated slashes, dot segments) count as the same path, because the service
 * may take them for the same.
 */
fun isRepeatable(service: Service, method: String, path: String): Boolean {
    val normalized = normalizedPath(path)
    return service.notRepeatable.none {
        it.method.equals(method, ignoreCase = true) && normalized.startsWith(normalizedPath(it.pathPrefix))
    }
}

private fun normalizedPath(path: String): String {
    val segments = ArrayDeque<String>()
    decoded(path.substringBefore('?')).split('/').forEach { segment ->
        when (segment) {
            "", "." -> Unit
            ".." -> segments.removeLastOrNull()
            else -> segments.addLast(segment)
        }
    }
    return segments.joinToString("/", prefix = "/")
}

private fun decoded(path: String): String = try {
    URLDecoder.decode(path.replace("+", "%2B"), Charsets.UTF_8)
} catch (_: IllegalArgumentException) {
    path
}
