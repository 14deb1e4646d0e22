package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.peers.FeedAnswer
import org.nutmegspring.gateway.peers.FeedQuestion
import org.nutmegspring.gateway.peers.PeerReceiver
import org.nutmegspring.gateway.peers.PeerReport
import org.nutmegspring.gateway.store.FeedInquiry

/** Hands the messages of other instances on to what they concern. */
internal class InstanceReceiver(
    private val reports: PeerReports,
    private val inquiry: () -> FeedInquiry,
    private val log: DecisionLog,
) : PeerReceiver {
    override fun onReport(report: PeerReport) = reports.applyReport(report)

    override fun onQuestion(question: FeedQuestion): FeedAnswer = inquiry().answer(question)

    override fun onAnswer(answer: FeedAnswer) = inquiry().receive(answer)

    override fun onProblem(problem: String) = log.record(DecisionEvent.Skipped("a message of an instance", problem))
}
