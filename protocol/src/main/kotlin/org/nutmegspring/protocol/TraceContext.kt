package org.nutmegspring.protocol

import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.Scope
import io.opentelemetry.context.propagation.TextMapGetter
import kotlinx.coroutines.ThreadContextElement
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/** Makes [context] the current OpenTelemetry context on every thread that runs the coroutine. */
class TraceContextElement(private val context: Context) :
    AbstractCoroutineContextElement(Key),
    ThreadContextElement<Scope> {
    override fun updateThreadContext(context: CoroutineContext): Scope = this.context.makeCurrent()

    override fun restoreThreadContext(context: CoroutineContext, oldState: Scope) = oldState.close()

    /** The key of a [TraceContextElement] in a coroutine context. */
    companion object Key : CoroutineContext.Key<TraceContextElement>
}

private const val TRACE_PARENT = "traceparent"

private object TraceParentGetter : TextMapGetter<String> {
    override fun get(carrier: String?, key: String): String? = carrier.takeIf { key == TRACE_PARENT }
}

/** Returns the W3C `traceparent` value of [context], or null when it has no valid span. */
internal fun formatTraceParent(context: Context): String? {
    var value: String? = null
    W3CTraceContextPropagator.getInstance().inject(context, null) { _: Any?, name, text ->
        if (name == TRACE_PARENT) value = text
    }
    return value
}

/** Returns the context that the W3C [traceParent] value describes, or the root context when it is null. */
internal fun parseTraceParent(traceParent: String?): Context {
    if (traceParent == null) return Context.root()
    return W3CTraceContextPropagator.getInstance().extract(Context.root(), traceParent, TraceParentGetter)
}
