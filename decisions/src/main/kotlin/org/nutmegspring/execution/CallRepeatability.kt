package org.nutmegspring.execution

import org.nutmegspring.configuration.Service
import java.net.URLDecoder

/**
 * Whether a call to [service] can safely run more than once.
 *
 * Different spellings of a path (escapes, repeated slashes, dot segments) are compared in normalized form, because the
 * service may treat them as the same path.
 */
fun isRepeatable(service: Service, method: String, path: String): Boolean {
    val normalized = normalizePath(path)
    return service.notRepeatable.none {
        it.method.equals(method, ignoreCase = true) && normalized.startsWith(normalizePath(it.pathPrefix))
    }
}

private fun normalizePath(path: String): String {
    val segments = ArrayDeque<String>()
    decodePath(path.substringBefore('?')).split('/').forEach { segment ->
        when (segment) {
            "", "." -> Unit
            ".." -> segments.removeLastOrNull()
            else -> segments.addLast(segment)
        }
    }
    return segments.joinToString("/", prefix = "/")
}

private fun decodePath(path: String): String = try {
    URLDecoder.decode(path.replace("+", "%2B"), Charsets.UTF_8)
} catch (_: IllegalArgumentException) {
    path
}
