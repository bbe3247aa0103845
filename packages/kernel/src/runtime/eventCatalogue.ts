/** Numbered log events. docs/EVENTS.md lists the same events; a test compares both. */

/** Level of an event, named as in winston. */
export type EventLevel = 'error' | 'warn' | 'info' | 'debug';

/** Definition of one event. */
export interface EventDefinition {
  /** Stable number, never reused. */
  number: number;
  level: EventLevel;
  /** Fixed message that says what happened; values of one occurrence go into fields. */
  text: string;
  /** What an operator can do; for warnings and errors. */
  action?: string;
}

/**
 * Every event of the product, by name. Numbers: 1xx process, 2xx platform, 3xx mesh and membership,
 * 4xx budget and bills, 5xx requests and routing, 6xx configuration, 7xx operators' command.
 */
export const eventCatalogue = {
  'router-started': { number: 100, level: 'info', text: 'router is serving' },
  'router-stopping': { number: 101, level: 'info', text: 'router is stopping gracefully' },
  'router-stopped': { number: 102, level: 'info', text: 'router has stopped' },
  'service-failed': {
    number: 103,
    level: 'error',
    text: 'a service inside the router failed',
    action: 'Report it with the log; the router keeps serving what it can.',
  },
  'settings-invalid': {
    number: 104,
    level: 'error',
    text: 'the settings file is invalid',
    action: 'Correct the setting that the message names.',
  },
  'gateway-started': { number: 110, level: 'info', text: 'the entry is serving' },
  'gateway-stopping': { number: 111, level: 'info', text: 'a graceful shutdown has begun' },
  'gateway-stopped': { number: 112, level: 'info', text: 'the entry has stopped' },
  'entry-stop-aborts': {
    number: 116,
    level: 'warn',
    text: 'requests still run at the end of a stop; they are ended with a final answer where that is possible',
    action: 'If it happens often, allow a longer grace period for a stop.',
  },
  'settings-reloaded': { number: 113, level: 'info', text: 'the settings file was reloaded' },
  'readiness-changed': {
    number: 114,
    level: 'info',
    text: 'the entry became ready or not ready for connections',
  },
  'log-lines-dropped': {
    number: 115,
    level: 'warn',
    text: 'log lines were dropped because standard output was not read fast enough',
    action: 'Check the program that reads the standard output of this process.',
  },
  'store-lost': {
    number: 200,
    level: 'warn',
    text: 'the store does not answer; the last known state stays in use',
    action: 'Check the store and the network to it.',
  },
  'store-regained': { number: 201, level: 'info', text: 'the store answers again' },
  'watcher-followed': {
    number: 202,
    level: 'info',
    text: 'this instance follows the store through another instance of its data centre',
  },
  'watcher-lost': {
    number: 203,
    level: 'info',
    text: 'the instance that was followed does not pass on the store; the next one is followed, or the store is asked',
  },
  'peer-health-changed': {
    number: 300,
    level: 'info',
    text: 'the health of a peer router changed',
  },
  'incarnation-renewed': {
    number: 301,
    level: 'warn',
    text: 'this router was sealed by its peers and continues as a new incarnation',
    action:
      'No action is needed. Possible causes are a pause of the process or a network partition just before.',
  },
  'peer-entry-invalid': {
    number: 309,
    level: 'warn',
    text: 'entries of a message of another instance cannot be read; the others are',
    action: 'Compare the versions of the instances.',
  },
  'news-peer-lost': {
    number: 302,
    level: 'info',
    text: 'another instance does not answer gossip; it gets the facts from other instances or later',
  },
  'news-peer-regained': {
    number: 303,
    level: 'info',
    text: 'an instance that did not answer gossip answers again',
  },
  'stream-records-unsent': {
    number: 304,
    level: 'warn',
    text: 'fewer instances than planned know what began some streams, because others did not answer',
    action: 'Check the network between the instances.',
  },
  'conditions-lost': {
    number: 305,
    level: 'warn',
    text: 'no collector of reports answers; this instance divides overloaded services by what it sees itself',
    action: 'Check the network between the instances of this data centre.',
  },
  'conditions-regained': { number: 306, level: 'info', text: 'the view of the fleet is back' },
  'accounts-limited': {
    number: 307,
    level: 'warn',
    text: 'a service is overloaded; accounts that ask for more than the level get only that much',
    action: 'Add servers to the service, or have the named accounts send less.',
  },
  'accounts-unlimited': { number: 308, level: 'info', text: 'a service limits no account now' },
  'tunnels-opened': {
    number: 310,
    level: 'info',
    text: 'another instance reaches a server through this instance',
  },
  'tunnels-closed': {
    number: 311,
    level: 'info',
    text: 'no other instance reaches this server through this instance any more',
  },
  'tunnel-refused': {
    number: 312,
    level: 'info',
    text: 'another instance asked for a tunnel to a server and was refused; at most one line a second for each server',
  },
  'holder-registered': { number: 400, level: 'info', text: 'router registered in the journal' },
  'holder-lost': {
    number: 401,
    level: 'warn',
    text: 'router was sealed by a peer and restarts as a new incarnation',
    action: 'Check for a pause of the process or a network partition between it and its peers.',
  },
  'holder-sealed': { number: 402, level: 'info', text: 'a router that is gone was sealed' },
  'holder-in-doubt': {
    number: 403,
    level: 'warn',
    text: 'a router that is gone cannot be sealed, because one of its witnesses does not answer',
    action: 'Restore the witness, or write the holder off once both are destroyed.',
  },
  'segment-rolled': { number: 404, level: 'info', text: 'bills were moved to a closed segment' },
  'prepaid-reported': {
    number: 410,
    level: 'info',
    text: 'spending was reported and tokens were taken or returned',
  },
  'prepaid-group-joined': {
    number: 411,
    level: 'info',
    text: 'this instance joined its group, which shares a page of prepaid budgets',
  },
  'provisional-waits': {
    number: 418,
    level: 'info',
    text: 'a request was answered while its idempotency key could not be claimed; its bill is undecided',
  },
  'provisional-settled': {
    number: 419,
    level: 'info',
    text: 'the bill of a request whose key could not be claimed is decided: billed or void',
  },
  'claim-kept-open': {
    number: 420,
    level: 'warn',
    text: 'an idempotency key stays claimed by a ticket that ended without a bill: too many claims wait to be released',
    action:
      'Check why the platform is unreachable; answered requests of the key are billed once this router ends.',
  },
  'prepaid-granted': {
    number: 413,
    level: 'info',
    text: 'the group was granted the tokens that it needed',
  },
  'prepaid-returned': {
    number: 414,
    level: 'info',
    text: 'the group returned tokens that it did not need',
  },
  'prepaid-group-left': {
    number: 415,
    level: 'info',
    text: 'this instance is stopping; it returned the tokens that it held and left its group',
  },
  'prepaid-members-dropped': {
    number: 416,
    level: 'warn',
    text: 'members that sent nothing for long are considered lost; the tokens that they held are charged as in doubt',
    action:
      'Check whether these instances were removed; one that was only partitioned joins again.',
  },
  'prepaid-rights-lost': {
    number: 417,
    level: 'warn',
    text: 'this instance was considered lost and continues without the tokens that it held',
    action:
      'Check for a long partition between it and the store, or a second process with its name.',
  },
  'prepaid-refused': {
    number: 412,
    level: 'info',
    text: 'a request needs more tokens than are available',
  },
  'prepaid-busy': {
    number: 428,
    level: 'info',
    text: 'a change of shared budgets was postponed to the next exchange: each attempt conflicted with another writer',
  },
  'prepaid-forwarded': {
    number: 430,
    level: 'info',
    text: 'another instance was asked to write a report, because all own attempts conflicted with other writers',
  },
  'prepaid-throttled': {
    number: 429,
    level: 'warn',
    text: 'the store throttles calls; requests without enough tokens are refused without calling it',
    action: 'Compare the calls of all instances with the rate limits of the store.',
  },
  'prepaid-borrowed': {
    number: 425,
    level: 'info',
    text: 'a lender accepted a report of this instance and lent it tokens',
  },
  'prepaid-loans-forgotten': {
    number: 426,
    level: 'warn',
    text: 'a lender does not know the loans of this instance: they are charged, and may still be spent',
    action: 'Check whether the lender restarted.',
  },
  'prepaid-loans-charged': {
    number: 427,
    level: 'warn',
    text: 'a borrower was replaced or lost; the tokens that it borrowed are charged in full',
    action: 'Check whether that instance was restarted or removed.',
  },
  'lender-lost': {
    number: 421,
    level: 'warn',
    text: 'an instance that lends prepaid tokens does not answer; other lenders are used',
    action: 'Check that instance and the network to it.',
  },
  'lender-regained': {
    number: 422,
    level: 'info',
    text: 'an instance that lends prepaid tokens answers again',
  },
  'instances-changed': { number: 423, level: 'info', text: 'the instances of the fleet changed' },
  'instances-unread': {
    number: 424,
    level: 'warn',
    text: 'the instances of the fleet cannot be read or written; the last known ones stay in use',
    action: 'Check the store and the network to it.',
  },
  'prepaid-entry-invalid': {
    number: 432,
    level: 'error',
    text: 'a stored entry of an account cannot be read; none of its tokens are granted, those of the others are',
    action: 'Correct the entry, counting all that may have been spent, or remove it.',
  },
  'instance-entry-invalid': {
    number: 431,
    level: 'warn',
    text: 'an entry of the list of instances has a name or a URL that cannot be used; the others are',
    action: 'Remove the entry, or check the program that wrote it.',
  },
  'request-ended': { number: 510, level: 'info', text: 'a request received its final answer' },
  'attempt-failed': { number: 511, level: 'info', text: 'an attempt at a server got no answer' },
  'servers-changed': { number: 512, level: 'info', text: 'the list of servers changed' },
  'server-silent': {
    number: 514,
    level: 'warn',
    text: 'requests wait at a server that sends nothing; it is avoided',
    action: 'Check the server and the network to it.',
  },
  'server-path-changed': {
    number: 522,
    level: 'warn',
    text: 'new connections to a server take another path: direct, through a peer (tunnel), or none is known to work',
    action: 'Check the network between this instance and the server.',
  },
  'server-kept': {
    number: 515,
    level: 'info',
    text: 'a server is still used although its entry is missing, because the entry may have expired',
  },
  'server-kept-ended': {
    number: 516,
    level: 'info',
    text: 'a server whose entry was missing is listed again or no longer used',
  },
  'software-recorded': {
    number: 531,
    level: 'info',
    text: 'the listed software versions of a service are recorded in the store, so that streams may begin at them',
  },
  'software-unrecorded': {
    number: 532,
    level: 'warn',
    text: 'the record of the software of a service could not be changed; streams begin only at versions that it holds',
    action: 'Check the store; the change is tried again until it succeeds.',
  },
  'software-retired': {
    number: 533,
    level: 'info',
    text: 'a software version that no server has run for long was removed from the record of its service',
  },
  'server-entry-invalid': {
    number: 513,
    level: 'warn',
    text: 'an entry of the server list has an invalid id or field; its server is not used',
    action: 'Check the program that writes the entry.',
  },
  'server-rate-limit': {
    number: 517,
    level: 'info',
    text: 'a server set, changed or removed its limit of requests per second',
  },
  'server-rate-limit-invalid': {
    number: 518,
    level: 'warn',
    text: 'a limit of requests per second in an answer is invalid and is ignored',
    action: 'Check the software of the server.',
  },
  'server-notice': {
    number: 519,
    level: 'info',
    text: 'a server announced that it is leaving, brittle or full, requests a pause, or has ended a pause',
  },
  'entry-behind': {
    number: 520,
    level: 'warn',
    text: 'requests of callers may have waited long to be read, because the event loop lags',
    action:
      'Compare the processor time of the process with that of its machine; add instances if it persists.',
  },
  'clients-closed': {
    number: 534,
    level: 'warn',
    text: 'connections of clients were closed because of a limit',
    action:
      'See docs/LIMITS.md for each limit; if the clients keep to them, raise it in the settings.',
  },
  'entry-caught-up': {
    number: 521,
    level: 'info',
    text: 'the event loop no longer lags; requests of callers are read in time',
  },
  'entry-not-listening': {
    number: 523,
    level: 'error',
    text: 'the address for callers could not be opened again; it is tried until it can',
    action: 'Check which other process listens at this address.',
  },
  'pressure-changed': {
    number: 540,
    level: 'info',
    text: 'the processor time that is left for the requests of callers changed',
  },
  'rotation-changed': {
    number: 541,
    level: 'info',
    text: 'the instance left the rotation of the load balancer for lack of processor time, or returned to it',
  },
  'evacuation-began': {
    number: 524,
    level: 'warn',
    text: 'an operator evacuated a data centre; nothing new is sent to its servers',
    action: 'If the data centre is not known, check the name of the entry.',
  },
  'evacuation-ended': {
    number: 525,
    level: 'info',
    text: 'an operator took an evacuation back',
  },
  'server-cold': {
    number: 526,
    level: 'info',
    text: 'a server is cold; one instance sends it few requests, the others none, until it is warm',
  },
  'server-cold-invalid': {
    number: 527,
    level: 'warn',
    text: 'a server states a cold time that cannot be read; that of its service is used',
    action: 'Check the software of the server.',
  },
  'homes-invalid': {
    number: 528,
    level: 'error',
    text: 'homes of routes or client accounts are no list of regions; their requests are refused',
    action: 'Write a list of regions, or none.',
  },
  'store-calls': {
    number: 529,
    level: 'info',
    text: 'calls to the object store since the start, by kind and collection',
  },
  'server-load-invalid': {
    number: 530,
    level: 'warn',
    text: 'a server reports its load in a form that cannot be read; the fields in `used` are used',
    action: 'Check the software of the server.',
  },
  'backend-crashed': {
    number: 500,
    level: 'warn',
    text: 'a backend server aborted all requests that it was running',
    action: 'Check that server; the requests are run on other servers.',
  },
  'request-quarantined': {
    number: 501,
    level: 'error',
    text: 'a request crashed the servers that ran it and is refused from now on',
    action:
      'Find the caller by the fingerprint and have the request changed. The pass-through entry allows it again after some time, and when it has finished.',
  },
  'configuration-applied': {
    number: 600,
    level: 'info',
    text: 'a newer configuration was applied',
  },
  'configuration-invalid': {
    number: 604,
    level: 'error',
    text: 'the configuration is invalid; the last valid one stays in use',
    action: 'Write a valid configuration; the field storeVersion names the invalid one.',
  },
  'configuration-entry-invalid': {
    number: 605,
    level: 'error',
    text: 'a route, service or client account of the configuration cannot be used as written; the others are',
    action: 'Correct the entry that the fields kind, entry and reason name.',
  },
  'declaration-unreadable': {
    number: 601,
    level: 'warn',
    text: 'a declared object is invalid; its last valid version stays in use',
    action: "Apply the object again with the operators' command.",
  },
  'configuration-relay': {
    number: 602,
    level: 'debug',
    text: 'this router started or stopped relaying configuration to its data centre',
  },
  'declaration-contained': {
    number: 603,
    level: 'warn',
    text: 'a mistake in a declared object was contained',
    action: 'Correct the object as the detail says.',
  },
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof eventCatalogue;
