package org.nutmegspring.protocol

import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.Scope
import io.opentelemetry.context.propagation.TextMapGetter
import kotlinx.coroutines.ThreadContextElement
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/** Keeps [context] current on whichever thread the coroutine runs. */
class TraceContextElement(private val context: Context) :
    AbstractCoroutineContextElement(Key),
    ThreadContextElement<Scope> {
    override fun updateThreadContext(context: CoroutineContext): Scope = this.context.makeCurrent()

    override fun restoreThreadContext(context: CoroutineContext, oldState: Scope) = oldState.close()

    /** The key of the element. */
    companion object Key : CoroutineContext.Key<TraceContextElement>
}

private const val TRACE_PARENT = "traceparent"

private object SingleHeader : TextMapGetter<String> {
    override fun get(carrier: String?, key: String): String? = carrier.takeIf { key == TRACE_PARENT }
}

/** Returns the W3C trace parent of [context], or null when it holds no span. */
internal fun traceParentOf(context: Context): String? {
    var value: String? = null
    W3CTraceContextPropagator.getInstance().inject(context, null) { _: Any?, name, text ->
        if (name == TRACE_PARENT) value = text
    }
    return value
}

/** Returns the context that [traceParent] describes. */
internal fun contextOf(traceParent: String?): Context {
    if (traceParent == null) return Context.root()
    return W3CTraceContextPropagator.getInstance().extract(Context.root(), traceParent, SingleHeader)
}
