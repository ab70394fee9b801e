/**
 * Coordination between daemons: log, grants, membership, routing, retries and
 * shutdown. Uses the state, transport and protocol layers.
 *
 * @module
 */
export * from './admission.js';
export * from './answer-relay.js';
export * from './attempt-runner.js';
export * from './budget-owners.js';
export * from './budget-manager.js';
export * from './cold-admission.js';
export * from './cold-share-policy.js';
export * from './crash-detector.js';
export * from './enrolment.js';
export * from './event-splitter.js';
export * from './fleet-retry-budgets.js';
export type * from './forward-types.js';
export * from './grant-manager.js';
export * from './grant-policy.js';
export * from './grant-size.js';
export * from './grant-writer.js';
export * from './intents.js';
export * from './keyed-follower.js';
export * from './expiry-grace.js';
export * from './loan-manager.js';
export * from './loan-policy.js';
export * from './loan-returns.js';
export * from './log-follower.js';
export * from './log-writer.js';
export * from './event-loop-monitor.js';
export * from './membership.js';
export * from './metrics.js';
export * from './model-runner.js';
export * from './gossip-codec.js';
export * from './gossip-rate.js';
export * from './gossip-receivers.js';
export * from './order-sender.js';
export * from './peer-catch-up.js';
export * from './gossip.js';
export * from './placement-policy.js';
export * from './prompt-source.js';
export * from './quarantine-recorder.js';
export * from './quarantine.js';
export * from './receipt-reporter.js';
export * from './reclaimer.js';
export * from './relayed-log.js';
export * from './remaining-time.js';
export * from './rendezvous.js';
export * from './repayment-client.js';
export * from './request-forwarder.js';
export * from './request-placement.js';
export * from './request-router.js';
export * from './retry-budget.js';
export * from './retry-after-estimator.js';
export * from './route-registry.js';
export * from './routing-policy.js';
export * from './service-runner.js';
export * from './settler.js';
export * from './snapshotter.js';
export * from './stall-timeout.js';
export * from './token-lending.js';
export * from './traffic-counter.js';
export * from './upstream-eligibility.js';
export * from './upstream-registry.js';
export * from './upstream-sender.js';
export * from './request-executor.js';
export * from './urgency.js';
export * from './work-queue.js';
