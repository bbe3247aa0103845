/** Schemas of what peers send and answer. The length of every list and text of an input is bounded. */

import type {
  Bill,
  DeclaredObject,
  GossipFact,
  GossipItem,
  JournalChange,
  JournalLine,
  JournalState,
  LoanAccount,
  LoanAnswer,
  LoanRequest,
  GossipMessage,
  Outcome,
  PrepaidReport,
  StreamKnowledge,
  StreamRecord,
} from '@flamingocourse/core';
import type { ZodType } from 'zod';
import type {
  Hint,
  ProcedureInput,
  ProcedureName,
  ProcedureOutput,
  RoutedProcedure,
} from '../types/procedures.js';
import type { EntrySchemas } from './readMessage.js';
import type { PackedBeat, PackedHeartbeat, PackedMember } from './heartbeatCodec.js';
import {
  MAX_FACTS_PER_MESSAGE,
  MAX_HEADER_TEXT_LENGTH,
  MAX_STREAMS_PER_MESSAGE,
  declarationKinds,
  packedSumsSchema,
  tableSchema,
} from '@flamingocourse/core';
import { z } from 'zod';

const maxIdLength = 300;
const maxLines = 5_000;
/** Maximum number of members in one heartbeat or witness line. */
const maxMembers = 64;
const maxHints = 32;
/** Maximum number of accounts in one loan request. */
const maxAccounts = 50_000;
const maxHintLength = 65_536;
/** Maximum number of requests that one instance has in flight at one server. */
const maxInFlight = 1_024;
const maxFingerprintLength = 64;
/** Maximum number of services of one route. */
const maxServices = 64;
/** Maximum number of collections that an instance follows. */
const maxCollections = 16;
const maxVersionDigits = 32;
/**
 * Maximum length of a stored answer in base64. The body limit applies to the whole call in
 * addition.
 */
const maxStoredAnswerLength = 2 * 1024 * 1024;

const id = z.string().min(1).max(maxIdLength);
/** What operators and servers call accounts, services and versions; it may be empty. */
const name = z.string().max(MAX_HEADER_TEXT_LENGTH);
const count = z.number().int().min(0);
const tokens = z.number().int();
const url = z.url({ protocol: /^http$/ }).max(maxIdLength);

const billSchema: ZodType<Bill> = z.object({
  holder: id,
  ticket: count,
  account: name,
  workClass: id,
  service: name,
  cost: tokens,
  promptTokens: tokens,
  completionTokens: tokens,
  keyDigest: id.exactOptional(),
  unclaimed: id.exactOptional(),
  at: z.number(),
});

const outcomeSchema: ZodType<Outcome> = z.object({
  holder: id,
  ticket: count,
  status: count,
  contentType: z.string().max(maxIdLength),
  body: z.string().max(maxStoredAnswerLength).exactOptional(),
  at: z.number(),
});

const changeSchema: ZodType<JournalChange> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('take'), account: name, amount: tokens }),
  z.object({ type: z.literal('give'), account: name, amount: tokens }),
  z.object({ type: z.literal('transfer'), to: id, account: name, amount: tokens }),
  z.object({ type: z.literal('intent'), ticket: count }),
  z.object({ type: z.literal('bill'), bill: billSchema }),
  z.object({ type: z.literal('outcome'), outcome: outcomeSchema }),
  z.object({ type: z.literal('not-run'), ticket: count }),
  z.object({ type: z.literal('witnesses'), witnesses: z.array(id).max(maxMembers) }),
  z.object({ type: z.literal('close') }),
]);

export const journalLineSchema: ZodType<JournalLine> = z.object({
  holder: id,
  seq: count,
  change: changeSchema,
});

const linesSchema = z.object({ lines: z.array(journalLineSchema).max(maxLines) });

const packedMemberSchema: ZodType<PackedMember> = z
  .tuple([id, url, url, z.number().int().min(0).max(2), count, count])
  .rest(id);

const packedBeatSchema: ZodType<PackedBeat> = z.tuple([id, count, z.number().min(0)]);

const heartbeatSchema: ZodType<PackedHeartbeat> = z.object({
  i: packedMemberSchema,
  d: z.array(packedBeatSchema).max(maxMembers).exactOptional(),
  m: z.array(packedMemberSchema).max(maxMembers).exactOptional(),
});

const nonNegative = z.number().min(0);

const prepaidReportSchema: ZodType<PrepaidReport> = z.object({
  instance: id,
  incarnation: id,
  seq: count,
  last: z.boolean(),
  entries: tableSchema(
    name,
    z.object({
      spent: nonNegative,
      keeps: nonNegative,
      wants: nonNegative,
      rate: z.number().min(0),
    }),
  ),
});

const loanRequestSchema: ZodType<LoanRequest> = z.object({
  lender: id.optional(),
  report: prepaidReportSchema,
  urgent: tableSchema(name, nonNegative),
  typicalRequest: nonNegative,
  interest: z.array(name).max(maxAccounts),
});

const fingerprint = z.string().min(1).max(maxFingerprintLength);

const gossipFactSchema: ZodType<GossipFact> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('crashed'),
    server: name,
    inFlight: z.array(fingerprint).max(maxInFlight),
  }),
  z.object({ type: z.literal('finished'), fingerprint }),
]);

const gossipItemSchema: ZodType<GossipItem> = z.object({
  origin: id,
  seq: count,
  ageMs: z.number().min(0),
  news: gossipFactSchema,
});

const gossipMessageSchema: ZodType<GossipMessage> = z.object({
  from: id,
  known: tableSchema(id, count),
  items: z.array(gossipItemSchema).max(MAX_FACTS_PER_MESSAGE),
});

const streamKey = z.string().min(1).max(maxFingerprintLength);

const streamOriginSchema = z.object({ service: name, version: name });

const streamRecordSchema: ZodType<StreamRecord> = z.object({
  key: streamKey,
  origin: streamOriginSchema,
  forMs: z.number().min(0),
});

const hintSchema: ZodType<Hint> = z.object({ topic: id, body: z.string().max(maxHintLength) });

/** The parts of a journal; they are not read entry by entry, as its totals belong together. */
const journalSchema = z.looseObject({
  dataCentre: z.string(),
  accounts: tableSchema(z.string(), z.looseObject({})),
  holders: tableSchema(z.string(), z.looseObject({})),
  segment: z.number(),
  bills: z.array(z.looseObject({})),
  outcomes: z.array(z.looseObject({})),
  provisional: z.array(z.looseObject({})).exactOptional(),
}) as unknown as ZodType<JournalState>;

/** Input schema of each procedure. */
export const inputSchemas: { [P in ProcedureName]: ZodType<ProcedureInput<P>> } = {
  heartbeat: heartbeatSchema,
  appendLines: linesSchema,
  keepLines: linesSchema,
  followStore: z.object({
    positions: tableSchema(id, z.string().max(maxVersionDigits).regex(/^\d+$/)).refine(
      (positions) => Object.keys(positions).length <= maxCollections,
    ),
    waitMs: z.number().min(0),
  }),
  fenceHolder: z.object({ holder: id }),
  recall: z.object({ account: name, amount: tokens.min(0), forDataCentre: id }),
  pullConfiguration: z.object({ since: count }),
  borrow: loanRequestSchema,
  writeReport: z.object({ group: id, report: prepaidReportSchema, replaces: id.optional() }),
  exchangeNews: gossipMessageSchema,
  keepStreams: z.object({ streams: z.array(streamRecordSchema).max(MAX_STREAMS_PER_MESSAGE) }),
  findStream: z.object({ key: streamKey, services: z.array(name).max(maxServices) }),
  shareConditions: packedSumsSchema,
  shareHints: z.object({ hints: z.array(hintSchema).max(maxHints) }),
};

/**
 * Schemas of the entries of an input that stand alone. Lines and reports are refused as a whole: a part of one
 * would charge or grant tokens twice.
 */
export const inputEntries: Partial<Record<ProcedureName, EntrySchemas>> = {
  heartbeat: { d: packedBeatSchema, m: packedMemberSchema },
  exchangeNews: { items: gossipItemSchema },
  keepStreams: { streams: streamRecordSchema },
  shareHints: { hints: hintSchema },
};

/** JSON has null for the infinite amounts of an account without a limit, which needs no loans. */
const amount = z
  .number()
  .nullable()
  .transform((value) => value ?? 0);

const loanAccountSchema: ZodType<LoanAccount> = z.object({
  held: nonNegative,
  remaining: amount,
  othersRate: amount,
  spread: amount.optional(),
  available: amount,
  gone: amount,
});

const loanAnswerSchema: ZodType<LoanAnswer> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('lent'),
    lender: id,
    instances: nonNegative,
    fetchers: nonNegative,
    isStopping: z.boolean(),
    accounts: tableSchema(name, loanAccountSchema),
  }),
  z.object({ type: z.literal('forgotten'), lender: id }),
]);

const streamKnowledgeSchema: ZodType<StreamKnowledge> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('known'), origin: streamOriginSchema }),
  z.object({ type: z.literal('ambiguous') }),
  z.object({ type: z.literal('unknown') }),
]);

const versionsSchema = z.array(name);

const declaredObjectSchema = z.looseObject({
  kind: z.enum(declarationKinds),
  name: z.string(),
  revision: z.number(),
}) as unknown as ZodType<DeclaredObject>;

const kept = z.literal('kept');

/** Schema of the answer to each procedure that is called through tRPC. */
export const outputSchemas: { [P in RoutedProcedure]: ZodType<ProcedureOutput<P>> } = {
  heartbeat: heartbeatSchema,
  appendLines: z.object({ version: z.string(), state: journalSchema }),
  keepLines: kept,
  fenceHolder: z.object({ lines: z.array(journalLineSchema) }),
  recall: z.object({ amount: tokens }),
  pullConfiguration: z.object({
    asOf: z.number(),
    objects: z.array(declaredObjectSchema),
    complete: z.boolean(),
    lastGood: z.array(declaredObjectSchema).exactOptional(),
  }),
  borrow: loanAnswerSchema,
  writeReport: z.enum(['taken', 'busy', 'fenced']),
  exchangeNews: gossipMessageSchema,
  keepStreams: kept,
  findStream: z.object({
    knowledge: streamKnowledgeSchema,
    software: tableSchema(name, versionsSchema),
  }),
  shareHints: z.literal('taken'),
};

/** Schemas of the entries of an answer that stand alone. */
export const outputEntries: Partial<Record<RoutedProcedure, EntrySchemas>> = {
  heartbeat: { d: packedBeatSchema, m: packedMemberSchema },
  borrow: { accounts: loanAccountSchema },
  exchangeNews: { items: gossipItemSchema },
  findStream: { software: versionsSchema },
};
