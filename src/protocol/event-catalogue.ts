/**
 * The numbered events of the structured log. docs/EVENTS.md explains each; a
 * test holds the two together.
 *
 * @module
 */

/** Event names with their number and text. */
export const eventCatalogue = {
	daemonStarted: {number: 1001, text: 'daemon started'},
	daemonStopping: {number: 1002, text: 'daemon stopping'},
	daemonStopped: {number: 1003, text: 'daemon stopped'},
	requestCut: {number: 1004, text: 'request cut by a forced stop'},
	daemonFailed: {number: 1005, text: 'daemon failed'},
	settingsReloaded: {number: 1006, text: 'settings read again'},
	settingsRefused: {number: 1007, text: 'changed settings are wrong'},
	daemonDraining: {number: 1008, text: 'daemon takes only requests that it can end'},
	logLost: {number: 1101, text: 'log service does not answer'},
	logBack: {number: 1102, text: 'log service answers again'},
	recordUnreadable: {number: 1103, text: 'log record skipped'},
	retentionPassed: {number: 1104, text: 'log no longer keeps the next record'},
	snapshotAppended: {number: 1105, text: 'snapshot appended'},
	snapshotLoaded: {number: 1106, text: 'snapshot loaded'},
	recordsRelayed: {number: 1107, text: 'records taken from a peer'},
	answerLost: {number: 1108, text: 'append answered late or not at all'},
	grantClaimed: {number: 1201, text: 'grant claimed'},
	grantReleased: {number: 1202, text: 'grant released'},
	grantClosed: {number: 1203, text: 'grant of a lost holder closed'},
	grantLost: {number: 1204, text: 'own grant found closed'},
	grantReported: {number: 1205, text: 'spend under a closed grant reported'},
	loanGiven: {number: 1206, text: 'tokens lent'},
	loanTaken: {number: 1207, text: 'tokens borrowed'},
	engineOverran: {number: 1208, text: 'engine generated past its limit'},
	budgetShort: {number: 1209, text: 'too few tokens for a request'},
	loanUnanswered: {number: 1210, text: 'gateway did not answer a request for tokens'},
	peerSuspected: {number: 1301, text: 'peer does not answer'},
	peerBack: {number: 1302, text: 'peer answers again'},
	peerLeaving: {number: 1303, text: 'peer is leaving'},
	joined: {number: 1304, text: 'incarnation on the log'},
	superseded: {number: 1305, text: 'a newer incarnation has this name'},
	placementsLost: {number: 1306, text: 'news of a gateway\'s placements broke off'},
	storePathLost: {number: 1109, text: 'direct way to the store lost'},
	storePathBack: {number: 1110, text: 'direct way to the store works'},
	relayChosen: {number: 1111, text: 'store reached through another daemon'},
	requestRefused: {number: 1401, text: 'request refused'},
	requestRetried: {number: 1402, text: 'request sent again'},
	requestAttached: {number: 1403, text: 'request attached to its earlier run'},
	frameDropped: {number: 1404, text: 'frame dropped'},
	streamResumed: {number: 1405, text: 'stream resumed on a new connection'},
	outcomeUnknown: {number: 1406, text: 'outcome unknown'},
	upstreamLost: {number: 1407, text: 'upstream does not answer'},
	requestEnded: {number: 1408, text: 'request ended'},
	requestFailed: {number: 1409, text: 'request ended by a fault'},
	callerLost: {number: 1410, text: 'connection of a caller failed'},
	planRecorded: {number: 1501, text: 'plan recorded'},
	planAccepted: {number: 1502, text: 'plan accepted'},
	planRefused: {number: 1503, text: 'plan refused'},
	orderSent: {number: 1504, text: 'order sent to the engine'},
	orderFenced: {number: 1505, text: 'order with an old fencing number stopped'},
	deploymentAdopted: {number: 1506, text: 'deployment in force'},
	upstreamListed: {number: 1701, text: 'upstream listed'},
	upstreamGone: {number: 1702, text: 'upstream no longer listed'},
	linesDropped: {number: 1801, text: 'log lines dropped'},
	peerRefused: {number: 1601, text: 'peer without the fleet key refused'},
	operatorRefused: {number: 1602, text: 'operator without a key refused'},
} as const satisfies Record<string, {number: number; text: string}>;

/** The name of an event. */
export type EventName = keyof typeof eventCatalogue;
