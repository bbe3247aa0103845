/** Numbered log events. docs/EVENTS.md lists the same events; a test compares both. */

/** Level of an event, in winston's customary names. */
export type EventLevel = 'error' | 'warn' | 'info' | 'debug';

/** Definition of one event. */
export interface EventDefinition {
  /** Stable number, never reused. */
  number: number;
  level: EventLevel;
  /** What happened, without values. */
  text: string;
  /** What an operator can do, for warnings and errors. */
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
    text: 'the settings file was refused',
    action: 'Mend the place that the message names.',
  },
  'gateway-started': { number: 110, level: 'info', text: 'the entry is serving' },
  'gateway-stopping': { number: 111, level: 'info', text: 'a graceful shutdown has begun' },
  'gateway-stopped': { number: 112, level: 'info', text: 'the entry has stopped' },
  'settings-reloaded': { number: 113, level: 'info', text: 'the settings file was read again' },
  'readiness-changed': {
    number: 114,
    level: 'info',
    text: 'the entry asks for connections or not',
  },
  'log-lines-dropped': {
    number: 115,
    level: 'warn',
    text: 'log lines were dropped because nobody read them in time',
    action: 'Look at what reads the standard output of this process.',
  },
  'store-lost': {
    number: 200,
    level: 'warn',
    text: 'the store does not answer; what is known stays in force',
    action: 'Look at the store and at the network to it.',
  },
  'store-regained': { number: 201, level: 'info', text: 'the store answers again' },
  'peer-health-changed': {
    number: 300,
    level: 'info',
    text: 'the judgement of a peer router changed',
  },
  'incarnation-renewed': {
    number: 301,
    level: 'warn',
    text: 'this router was sealed by its peers and goes on under a new incarnation',
    action: 'Look for pauses of the process or a partition just before; no action is needed.',
  },
  'news-peer-lost': {
    number: 302,
    level: 'info',
    text: 'another instance does not answer when it is told news; it hears them from others or later',
  },
  'news-peer-regained': {
    number: 303,
    level: 'info',
    text: 'an instance that did not answer takes news again',
  },
  'holder-registered': { number: 400, level: 'info', text: 'router registered in the journal' },
  'holder-lost': {
    number: 401,
    level: 'warn',
    text: 'router was sealed by a peer and starts over as a new incarnation',
    action: 'Look for a pause of the process or a cut between it and its peers.',
  },
  'holder-sealed': { number: 402, level: 'info', text: 'a router that is gone was sealed' },
  'holder-in-doubt': {
    number: 403,
    level: 'warn',
    text: 'a router that is gone cannot be sealed, because a witness of it does not answer',
    action: 'Bring the witness back, or write the holder off once both are destroyed.',
  },
  'segment-rolled': { number: 404, level: 'info', text: 'bills were moved to a closed segment' },
  'prepaid-reported': {
    number: 410,
    level: 'info',
    text: 'spend was reported and tokens were taken or given back',
  },
  'prepaid-group-joined': {
    number: 411,
    level: 'info',
    text: 'this instance shares a page of prepaid budgets with the others of its group',
  },
  'provisional-waits': {
    number: 418,
    level: 'info',
    text: 'a request was answered while its key could not be claimed; who is billed is not known yet',
  },
  'provisional-settled': {
    number: 419,
    level: 'info',
    text: 'it is known whether such a request is billed or void',
  },
  'claim-kept-open': {
    number: 420,
    level: 'warn',
    text: 'a key stays with a ticket that ended without a bill: too many wait to be given up',
    action:
      'Look why the platform is out of reach; answered requests of the key are billed once this router ends.',
  },
  'prepaid-granted': { number: 413, level: 'info', text: 'the group was granted what it lacked' },
  'prepaid-returned': {
    number: 414,
    level: 'info',
    text: 'the group gave back what it did not need',
  },
  'prepaid-group-left': {
    number: 415,
    level: 'info',
    text: 'this instance stops, has given back what it held and is no longer a member',
  },
  'prepaid-members-dropped': {
    number: 416,
    level: 'warn',
    text: 'members that were silent for long are taken for lost; what they held is charged in doubt',
    action: 'Look whether these instances were removed; one that was only cut off joins again.',
  },
  'prepaid-rights-lost': {
    number: 417,
    level: 'warn',
    text: 'this instance was taken for lost and goes on without the tokens that it held',
    action: 'Look for a long cut between it and the store, or a second process of its name.',
  },
  'prepaid-refused': {
    number: 412,
    level: 'info',
    text: 'a request does not fit into the tokens to be had',
  },
  'prepaid-busy': {
    number: 428,
    level: 'info',
    text: 'a change of shared budgets was given up until the next exchange: others were quicker each time',
  },
  'prepaid-throttled': {
    number: 429,
    level: 'warn',
    text: 'the store takes no more calls for now; requests that lack tokens are refused without asking it',
    action: 'Compare the calls of all instances with the rates of the store.',
  },
  'prepaid-borrowed': {
    number: 425,
    level: 'info',
    text: 'a lender took a report of this instance in and lent it tokens',
  },
  'prepaid-loans-forgotten': {
    number: 426,
    level: 'warn',
    text: 'a lender does not know the loans of this instance: they are charged, and may still be spent',
    action: 'Look for a restart of the lender.',
  },
  'prepaid-loans-charged': {
    number: 427,
    level: 'warn',
    text: 'a borrower was replaced or lost; what it had borrowed is charged in full',
    action: 'Look whether that instance was restarted or removed.',
  },
  'lender-lost': {
    number: 421,
    level: 'warn',
    text: 'an instance that lends prepaid tokens does not answer; others are asked',
    action: 'Look at that instance and at the network to it.',
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
    text: 'the instances of the fleet cannot be read or written; the last known ones hold',
    action: 'Look at the store and at the network to it.',
  },
  'request-ended': { number: 510, level: 'info', text: 'a request got its final answer' },
  'attempt-failed': { number: 511, level: 'info', text: 'an attempt at a server gave no answer' },
  'servers-changed': { number: 512, level: 'info', text: 'the list of servers changed' },
  'server-silent': {
    number: 514,
    level: 'warn',
    text: 'requests wait at a server and nothing comes from it; it is avoided',
    action: 'Look at the server and at the network to it.',
  },
  'server-kept': {
    number: 515,
    level: 'info',
    text: 'a server is used although its entry is missing: the entry may have lapsed',
  },
  'server-kept-ended': {
    number: 516,
    level: 'info',
    text: 'a server whose entry was missing is listed again or not used any more',
  },
  'server-entry-invalid': {
    number: 513,
    level: 'warn',
    text: 'an entry of the server list cannot be used and names no server',
    action: 'Look at who writes the entry.',
  },
  'server-rate-limit': {
    number: 517,
    level: 'info',
    text: 'a server named, changed or ended its limit of requests a second',
  },
  'server-rate-limit-invalid': {
    number: 518,
    level: 'warn',
    text: 'a limit of requests a second in an answer cannot be read and changes nothing',
    action: 'Look at the software of the server.',
  },
  'server-notice': {
    number: 519,
    level: 'info',
    text: 'a server said of itself that it leaves, wants to rest, or is back from a rest',
  },
  'entry-behind': {
    number: 520,
    level: 'warn',
    text: 'requests of callers may have lain unread for long: this process does not keep up',
    action: 'Compare its processor time with what its machine has; add instances if it lasts.',
  },
  'entry-caught-up': {
    number: 521,
    level: 'info',
    text: 'requests of callers are read in time again',
  },
  'backend-crashed': {
    number: 500,
    level: 'warn',
    text: 'a backend server broke off the requests that it ran',
    action: 'Look at that server; the requests are run elsewhere.',
  },
  'request-quarantined': {
    number: 501,
    level: 'error',
    text: 'a request crashed the servers that ran it and is refused from now on',
    action:
      'Find the caller by the fingerprint and have the request changed. The pass-through entry lets it run again after a while, and when it finished.',
  },
  'configuration-applied': {
    number: 600,
    level: 'info',
    text: 'a newer configuration is in force',
  },
  'configuration-invalid': {
    number: 604,
    level: 'error',
    text: 'the configuration cannot be read; the last good one stays in force',
    action: 'Write a valid configuration; the message names the place.',
  },
  'declaration-unreadable': {
    number: 601,
    level: 'warn',
    text: 'a declared object cannot be read; its last good version stays in force',
    action: 'Apply the object again with the operators command.',
  },
  'configuration-relay': {
    number: 602,
    level: 'debug',
    text: 'this router began or ended to relay configuration to its data centre',
  },
  'declaration-contained': {
    number: 603,
    level: 'warn',
    text: 'a mistake in a declared object was contained',
    action: 'Change the object as the detail says.',
  },
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof eventCatalogue;
