// Specification of prepaid token budgets: ledger, journals, witnesses, sealing, claims and revisions.
//
// There are one client account, two data centres and three routers ("holders"). a1 and a2 are each
// other's witness and store each other's lines; b1 has no witness. Request 1 is non-idempotent and
// request 2 is idempotent; any router may receive either of them.
//
// Faults are sequences of actions. A suspended or killed router takes no further step; one that
// resumes late takes a step after it was sealed. During a partition from the platform there is no
// `deliver`, `readJournal`, `grant` and the like. A lost reply is a `deliver` without a `readJournal`
// after it, and a line that is sent twice is a second `deliver`.
module flamingocourse {
  type Line = { kind: str, req: int, amount: int }
  type Bill = { holder: str, req: int, cost: int }
  type Run = { phase: str, req: int, amount: int, lineAt: int }
  type Journal = {
    granted: str -> int,
    returned: str -> int,
    spent: str -> int,
    states: str -> str,
    seqs: str -> int,
    slices: str -> int,
    intents: str -> Set[int],
    done: str -> Set[int],
    bills: List[Bill]
  }

  pure val DATA_CENTRES = Set("a", "b")
  pure val HOLDERS = Set("a1", "a2", "b1")
  pure val REQUESTS = Set(1, 2)
  pure val NON_IDEMPOTENT = 1
  pure val OPENING = 4
  pure val TOP_UP = 2
  pure val WORST_CASE = 2
  pure val MAX_LINES = 6
  pure val IDLE = { phase: "idle", req: 0, amount: 0, lineAt: 0 }

  pure def dataCentreOf(h: str): str = if (h == "b1") "b" else "a"
  pure def hasWitness(h: str): bool = h != "b1"
  pure def witnessOf(h: str): str = if (h == "a1") "a2" else "a1"
  pure def minOf(x: int, y: int): int = if (x < y) x else y
  pure def maxOf(x: int, y: int): int = if (x > y) x else y

  pure def heldIn(j: Journal, d: str): int =
    HOLDERS.filter(h => dataCentreOf(h) == d).fold(0, (sum, h) => sum + j.slices.get(h))

  pure def poolOf(j: Journal, d: str): int =
    maxOf(0, j.granted.get(d) - j.returned.get(d) - j.spent.get(d) - heldIn(j, d))

  // Effect of a holder's next line. Bills and intents of a request that is done change nothing.
  pure def applyNext(j: Journal, h: str, line: Line): Journal = {
    val advanced = { ...j, seqs: j.seqs.setBy(h, s => s + 1) }
    val isDone = j.done.get(h).contains(line.req)
    if (line.kind == "take")
      { ...advanced, slices: j.slices.setBy(h, s => s + minOf(line.amount, poolOf(j, dataCentreOf(h)))) }
    else if (line.kind == "give")
      { ...advanced, slices: j.slices.setBy(h, s => s - line.amount) }
    else if (line.kind == "intent")
      { ...advanced, intents: j.intents.setBy(h, s => if (isDone) s else s.union(Set(line.req))) }
    else if (line.kind == "notRun")
      { ...advanced, intents: j.intents.setBy(h, s => s.exclude(Set(line.req))) }
    else if (isDone) advanced
    else
      {
        ...advanced,
        slices: j.slices.setBy(h, s => s - line.amount),
        spent: j.spent.setBy(dataCentreOf(h), s => s + line.amount),
        done: j.done.setBy(h, s => s.union(Set(line.req))),
        intents: j.intents.setBy(h, s => s.exclude(Set(line.req))),
        bills: j.bills.append({ holder: h, req: line.req, cost: line.amount })
      }
  }

  // Applies the holder's lines up to `upTo`. Lines that are already applied are skipped.
  pure def applyUpTo(j: Journal, h: str, history: List[Line], upTo: int): Journal =
    range(j.seqs.get(h), maxOf(j.seqs.get(h), upTo)).foldl(j, (acc, i) => applyNext(acc, h, history[i]))

  var limit: int
  var paid: int
  var topUps: int
  var ledgerGranted: str -> int
  var ledgerReturned: str -> int
  var journal: Journal
  // All lines that a holder has written; the position of a line is its sequence number.
  var lines: str -> List[Line]
  // Number of lines sent, possibly still in flight; they may arrive any number of times.
  var sent: str -> int
  // The holder's part of the journal as of its last read.
  var seenSeq: str -> int
  var seenSlice: str -> int
  var seenOpen: str -> bool
  // Number of lines that the holder's witness stores, and whether the witness was fenced for the
  // holder after the journal's state became `sealing`.
  var stored: str -> int
  var fenced: str -> bool
  // Whether the witness has read that the holder is no longer open.
  var refused: str -> bool
  var runs: str -> Run
  var started: Set[(str, int)]
  var claims: int -> str
  var runCount: int -> int
  var answered: Set[int]
  var answers: int -> int
  var notRun: Set[(str, int)]
  var dispatched: Set[(str, int)]
  var published: int
  var revisions: str -> int
  var revisionFell: bool

  // Cost of the lines that the holder has not yet read as applied.
  def unseenCost(h: str): int =
    range(seenSeq.get(h), lines.get(h).length()).foldl(0, (sum, i) =>
      val line = lines.get(h)[i]
      if (line.kind == "bill" or line.kind == "give") sum + line.amount else sum)

  def free(h: str): int = {
    val work = runs.get(h)
    val reserved = if (Set("reserved", "intended", "running", "ownBill").contains(work.phase)) work.amount else 0
    seenSlice.get(h) - unseenCost(h) - reserved
  }

  def durableSeq(h: str): int = maxOf(seenSeq.get(h), stored.get(h))
  def mayWrite(h: str): bool = seenOpen.get(h) and lines.get(h).length() < MAX_LINES
  def withLine(h: str, kind: str, req: int, amount: int): str -> List[Line] =
    lines.setBy(h, l => l.append({ kind: kind, req: req, amount: amount }))

  action unchangedLedger = all { limit' = limit, paid' = paid, topUps' = topUps,
    ledgerGranted' = ledgerGranted, ledgerReturned' = ledgerReturned }
  action unchangedViews = all { seenSeq' = seenSeq, seenSlice' = seenSlice, seenOpen' = seenOpen }
  action unchangedWitness = all { stored' = stored, fenced' = fenced, refused' = refused }
  action unchangedRequests = all { started' = started, claims' = claims, runCount' = runCount,
    answered' = answered, answers' = answers, notRun' = notRun, dispatched' = dispatched }
  action unchangedRevisions = all { published' = published, revisions' = revisions, revisionFell' = revisionFell }
  // Leaves everything unchanged except lines, runs and the records of the requests.
  action unchangedStores = all { unchangedLedger, journal' = journal, sent' = sent, unchangedViews, unchangedWitness, unchangedRevisions }
  // Leaves everything unchanged except the ledger and the journal.
  action unchangedRouters = all { lines' = lines, sent' = sent, unchangedViews, unchangedWitness, runs' = runs, unchangedRequests, unchangedRevisions }

  action init = all {
    limit' = OPENING, paid' = OPENING, topUps' = 0,
    ledgerGranted' = DATA_CENTRES.mapBy(_ => 0), ledgerReturned' = DATA_CENTRES.mapBy(_ => 0),
    journal' = {
      granted: DATA_CENTRES.mapBy(_ => 0), returned: DATA_CENTRES.mapBy(_ => 0),
      spent: DATA_CENTRES.mapBy(_ => 0), states: HOLDERS.mapBy(_ => "open"),
      seqs: HOLDERS.mapBy(_ => 0), slices: HOLDERS.mapBy(_ => 0),
      intents: HOLDERS.mapBy(_ => Set()), done: HOLDERS.mapBy(_ => Set()), bills: List()
    },
    lines' = HOLDERS.mapBy(_ => List()), sent' = HOLDERS.mapBy(_ => 0),
    seenSeq' = HOLDERS.mapBy(_ => 0), seenSlice' = HOLDERS.mapBy(_ => 0), seenOpen' = HOLDERS.mapBy(_ => true),
    stored' = HOLDERS.mapBy(_ => 0), fenced' = HOLDERS.mapBy(_ => false), refused' = HOLDERS.mapBy(_ => false),
    runs' = HOLDERS.mapBy(_ => IDLE), started' = Set(), claims' = REQUESTS.mapBy(_ => ""),
    runCount' = REQUESTS.mapBy(_ => 0), answered' = Set(), answers' = REQUESTS.mapBy(_ => 0),
    notRun' = Set(), dispatched' = Set(),
    published' = 1, revisions' = HOLDERS.mapBy(_ => 1), revisionFell' = false
  }

  // Ledger, and counters copied between ledger and journal

  action grant(d: str, amount: int): bool = {
    val committed = DATA_CENTRES.fold(0, (sum, c) => sum + ledgerGranted.get(c) - ledgerReturned.get(c))
    all {
      limit - committed > 0,
      ledgerGranted' = ledgerGranted.setBy(d, g => g + minOf(amount, limit - committed)),
      limit' = limit, paid' = paid, topUps' = topUps, ledgerReturned' = ledgerReturned,
      journal' = journal, unchangedRouters
    }
  }
  action copyGrant(d: str): bool = all {
    ledgerGranted.get(d) > journal.granted.get(d),
    journal' = { ...journal, granted: journal.granted.set(d, ledgerGranted.get(d)) },
    unchangedLedger, unchangedRouters
  }
  action startReturn(d: str): bool = all {
    poolOf(journal, d) > 0,
    journal' = { ...journal, returned: journal.returned.setBy(d, r => r + 1) },
    unchangedLedger, unchangedRouters
  }
  action copyReturn(d: str): bool = all {
    journal.returned.get(d) > ledgerReturned.get(d),
    ledgerReturned' = ledgerReturned.set(d, journal.returned.get(d)),
    limit' = limit, paid' = paid, topUps' = topUps, ledgerGranted' = ledgerGranted,
    journal' = journal, unchangedRouters
  }
  // The same receipt may arrive twice, after a lost reply; it counts once.
  action topUp = all {
    topUps < 2,
    limit' = if (topUps == 0) limit + TOP_UP else limit,
    paid' = if (topUps == 0) paid + TOP_UP else paid,
    topUps' = topUps + 1,
    ledgerGranted' = ledgerGranted, ledgerReturned' = ledgerReturned,
    journal' = journal, unchangedRouters
  }

  // Lines of a holder

  action take(h: str, amount: int): bool = all {
    mayWrite(h),
    lines' = withLine(h, "take", 0, amount),
    runs' = runs, unchangedRequests, unchangedStores
  }
  action give(h: str): bool = all {
    mayWrite(h), free(h) > 0,
    lines' = withLine(h, "give", 0, 1),
    runs' = runs, unchangedRequests, unchangedStores
  }
  action send(h: str): bool = all {
    sent.get(h) < lines.get(h).length(), seenSeq.get(h) < lines.get(h).length(), seenOpen.get(h),
    sent' = sent.set(h, lines.get(h).length()),
    lines' = lines, unchangedLedger, journal' = journal, unchangedViews, unchangedWitness, runs' = runs, unchangedRequests, unchangedRevisions
  }
  action deliver(h: str): bool = all {
    sent.get(h) > 0,
    journal' = if (journal.states.get(h) == "open") applyUpTo(journal, h, lines.get(h), sent.get(h)) else journal,
    unchangedLedger, unchangedRouters
  }
  action readJournal(h: str): bool = all {
    seenSeq' = seenSeq.set(h, journal.seqs.get(h)),
    seenSlice' = seenSlice.set(h, journal.slices.get(h)),
    seenOpen' = seenOpen.set(h, journal.states.get(h) == "open"),
    runs' = if (journal.states.get(h) == "open") runs else runs.set(h, IDLE),
    lines' = lines, sent' = sent, unchangedLedger, journal' = journal, stored' = stored, fenced' = fenced,
    refused' = HOLDERS.mapBy(o =>
      refused.get(o) or (hasWitness(o) and witnessOf(o) == h and journal.states.get(o) != "open")),
    unchangedRequests, unchangedRevisions
  }
  action storeAtWitness(h: str): bool = all {
    hasWitness(h), seenOpen.get(h), not(fenced.get(h)), not(refused.get(h)),
    stored.get(h) < lines.get(h).length(), seenSeq.get(h) < lines.get(h).length(),
    stored' = stored.set(h, lines.get(h).length()), fenced' = fenced, refused' = refused,
    lines' = lines, sent' = sent, unchangedLedger, journal' = journal, unchangedViews, runs' = runs, unchangedRequests, unchangedRevisions
  }
  action replay(h: str): bool = all {
    stored.get(h) > journal.seqs.get(h), journal.states.get(h) == "open",
    journal' = applyUpTo(journal, h, lines.get(h), stored.get(h)),
    unchangedLedger, unchangedRouters
  }

  // Sealing

  action startSeal(h: str): bool = all {
    journal.states.get(h) == "open",
    journal' = { ...journal, states: journal.states.set(h, "sealing") },
    unchangedLedger, unchangedRouters
  }
  action fence(h: str): bool = all {
    hasWitness(h), journal.states.get(h) == "sealing", not(fenced.get(h)),
    fenced' = fenced.set(h, true), stored' = stored, refused' = refused,
    lines' = lines, sent' = sent, unchangedLedger, journal' = journal, unchangedViews, runs' = runs, unchangedRequests, unchangedRevisions
  }
  action finishSeal(h: str): bool = {
    val last = applyUpTo(journal, h, lines.get(h), stored.get(h))
    all {
      journal.states.get(h) == "sealing", fenced.get(h) or not(hasWitness(h)),
      journal' = { ...last, states: last.states.set(h, "sealed"), slices: last.slices.set(h, 0) },
      unchangedLedger, unchangedRouters
    }
  }

  // Requests

  action start(h: str, req: int): bool = all {
    seenOpen.get(h), runs.get(h).phase == "idle", not(started.contains((h, req))),
    runs' = runs.set(h, { ...IDLE, phase: if (req == NON_IDEMPOTENT) "claiming" else "claimed", req: req }),
    started' = started.union(Set((h, req))),
    claims' = claims, runCount' = runCount, answered' = answered, answers' = answers, notRun' = notRun, dispatched' = dispatched,
    lines' = lines, unchangedStores
  }
  // A non-idempotent request claims its key before dispatch, an idempotent one before its bill.
  action claim(h: str): bool = {
    val work = runs.get(h)
    val owner = claims.get(work.req)
    val isOwn = owner == "" or owner == h
    all {
      work.phase == "claiming" or work.phase == "running",
      work.phase == "claiming" or work.req != NON_IDEMPOTENT,
      claims' = if (isOwn) claims.set(work.req, h) else claims,
      runs' = runs.set(h, if (not(isOwn)) IDLE else { ...work, phase: if (work.phase == "claiming") "claimed" else "ownBill" }),
      started' = started, runCount' = runCount, answered' = answered, answers' = answers, notRun' = notRun, dispatched' = dispatched,
      lines' = lines, unchangedStores
    }
  }
  // Requires that the owner is sealed and that the journal has neither its bill nor its open intent.
  action takeOver(h: str): bool = {
    val work = runs.get(h)
    val owner = claims.get(work.req)
    all {
      work.phase == "claiming" or (work.phase == "running" and work.req != NON_IDEMPOTENT),
      owner != "", owner != h,
      journal.states.get(owner) == "sealed",
      not(journal.done.get(owner).contains(work.req)), not(journal.intents.get(owner).contains(work.req)),
      claims' = claims.set(work.req, h),
      runs' = runs.set(h, { ...work, phase: if (work.phase == "claiming") "claimed" else "ownBill" }),
      notRun' = if (work.req == NON_IDEMPOTENT) notRun.union(Set((owner, work.req))) else notRun,
      started' = started, runCount' = runCount, answered' = answered, answers' = answers, dispatched' = dispatched,
      lines' = lines, unchangedStores
    }
  }
  action reserve(h: str): bool = all {
    runs.get(h).phase == "claimed", seenOpen.get(h), free(h) >= WORST_CASE,
    runs' = runs.setBy(h, r => { ...r, phase: "reserved", amount: WORST_CASE }),
    lines' = lines, unchangedRequests, unchangedStores
  }
  action intent(h: str): bool = all {
    runs.get(h).phase == "reserved", runs.get(h).req == NON_IDEMPOTENT, mayWrite(h),
    runs' = runs.setBy(h, r => { ...r, phase: "intended", lineAt: lines.get(h).length() + 1 }),
    lines' = withLine(h, "intent", runs.get(h).req, 0),
    unchangedRequests, unchangedStores
  }
  action dispatch(h: str): bool = {
    val work = runs.get(h)
    all {
      (work.phase == "reserved" and work.req != NON_IDEMPOTENT)
        or (work.phase == "intended" and durableSeq(h) >= work.lineAt),
      runs' = runs.set(h, { ...work, phase: "running" }),
      runCount' = runCount.setBy(work.req, n => n + 1),
      dispatched' = dispatched.union(Set((h, work.req))),
      started' = started, claims' = claims, answered' = answered, answers' = answers, notRun' = notRun,
      lines' = lines, unchangedStores
    }
  }
  // The intent was not confirmed as stored in time: the request is not dispatched, and a line records
  // that it did not run.
  action giveUp(h: str): bool = all {
    runs.get(h).phase == "intended", mayWrite(h),
    lines' = withLine(h, "notRun", runs.get(h).req, 0),
    runs' = runs.set(h, IDLE),
    notRun' = notRun.union(Set((h, runs.get(h).req))),
    started' = started, claims' = claims, runCount' = runCount, answered' = answered, answers' = answers, dispatched' = dispatched,
    unchangedStores
  }
  action bill(h: str, cost: int): bool = {
    val work = runs.get(h)
    all {
      work.phase == "ownBill" or (work.phase == "running" and work.req == NON_IDEMPOTENT), mayWrite(h),
      lines' = withLine(h, "bill", work.req, minOf(cost, work.amount)),
      runs' = runs.set(h, { ...work, phase: "billed", amount: 0, lineAt: lines.get(h).length() + 1 }),
      unchangedRequests, unchangedStores
    }
  }
  action finalEvent(h: str): bool = {
    val work = runs.get(h)
    all {
      work.phase == "billed", durableSeq(h) >= work.lineAt,
      answered' = answered.union(Set(work.req)),
      answers' = answers.setBy(work.req, n => n + 1),
      runs' = runs.set(h, IDLE),
      started' = started, claims' = claims, runCount' = runCount, notRun' = notRun, dispatched' = dispatched,
      lines' = lines, unchangedStores
    }
  }

  // Configuration

  action publish = all {
    published < 3, published' = published + 1, revisions' = revisions, revisionFell' = revisionFell,
    unchangedLedger, journal' = journal, lines' = lines, sent' = sent, unchangedViews, unchangedWitness, runs' = runs, unchangedRequests
  }
  // Any published revision may arrive, late and out of order.
  action merge(h: str, revision: int): bool = {
    val latest = maxOf(revisions.get(h), revision)
    all {
      revision <= published,
      revisions' = revisions.set(h, latest),
      revisionFell' = (revisionFell or latest < revisions.get(h)),
      published' = published,
      unchangedLedger, journal' = journal, lines' = lines, sent' = sent, unchangedViews, unchangedWitness, runs' = runs, unchangedRequests
    }
  }

  action step = {
    nondet h = HOLDERS.oneOf()
    nondet d = DATA_CENTRES.oneOf()
    nondet amount = 1.to(2).oneOf()
    nondet req = REQUESTS.oneOf()
    nondet revision = 1.to(3).oneOf()
    // Actions that end, repeat or undo something are rare; otherwise no request would be answered.
    nondet chance = 1.to(12).oneOf()
    val allowRare = chance == 1
    any {
      grant(d, amount), copyGrant(d), copyReturn(d),
      all { allowRare, startReturn(d) },
      all { allowRare, topUp },
      all { allowRare or (poolOf(journal, dataCentreOf(h)) > 0 and free(h) < WORST_CASE), take(h, amount) },
      all { allowRare, give(h) },
      send(h),
      all { allowRare or sent.get(h) > journal.seqs.get(h), deliver(h) },
      all { allowRare or seenSeq.get(h) < journal.seqs.get(h), readJournal(h) },
      storeAtWitness(h),
      all { allowRare, replay(h) },
      all { allowRare, startSeal(h) },
      fence(h), finishSeal(h),
      start(h, req), claim(h), takeOver(h), reserve(h), intent(h), dispatch(h),
      all { allowRare, giveUp(h) },
      bill(h, amount), finalEvent(h),
      all { allowRare, publish },
      all { allowRare, merge(h, revision) }
    }
  }

  // Invariants

  val totalSpent = DATA_CENTRES.fold(0, (sum, d) => sum + journal.spent.get(d))
  val grantedWithinLimit =
    DATA_CENTRES.fold(0, (sum, d) => sum + ledgerGranted.get(d) - ledgerReturned.get(d)) <= limit
  val journalsWithinGrant = DATA_CENTRES.forall(d =>
    journal.spent.get(d) + heldIn(journal, d) <= journal.granted.get(d) - journal.returned.get(d))
  val noOverspend = and { totalSpent <= paid, limit <= paid, grantedWithinLimit, journalsWithinGrant,
    HOLDERS.forall(h => seenOpen.get(h) implies free(h) >= 0) }
  def billsOf(req: int): int = journal.bills.select(b => b.req == req).length()
  val billedAtMostOnce = REQUESTS.forall(r => billsOf(r) <= 1)

  // The journal after every holder is sealed with the lines that its witness stores.
  val settled = HOLDERS.fold(journal, (j, h) =>
    if (j.states.get(h) == "sealed") j else applyUpTo(j, h, lines.get(h), stored.get(h)))
  val answeredBilledOnce = answered.forall(r =>
    settled.bills.select(b => b.req == r).length() == 1)
  val settledWithinPaid = DATA_CENTRES.fold(0, (sum, d) => sum + settled.spent.get(d)) <= paid
  val runsAtMostOnce = runCount.get(NON_IDEMPOTENT) <= 1
  val notRunIsTrue = notRun.forall(t => not(dispatched.contains(t)))
  val revisionNeverFalls = not(revisionFell)

  val safe = and { noOverspend, billedAtMostOnce, answeredBilledOnce, settledWithinPaid, runsAtMostOnce,
    notRunIsTrue, revisionNeverFalls }

  // States that a simulation has to reach to be a meaningful check.
  val someAnswered = answered.size() > 0
  val someSealedAfterBill = HOLDERS.exists(h =>
    journal.states.get(h) == "sealed" and journal.done.get(h).size() > 0)
  val someIntentOpen = HOLDERS.exists(h => journal.intents.get(h).size() > 0)
  val someStoredAtWitness = HOLDERS.exists(h => stored.get(h) > journal.seqs.get(h))

  run sealedHolderAnswersTest = {
    init.then(grant("a", 2)).then(copyGrant("a")).then(take("a1", 2)).then(send("a1"))
      .then(deliver("a1")).then(readJournal("a1")).then(start("a1", 2)).then(reserve("a1"))
      .then(dispatch("a1")).then(claim("a1")).then(bill("a1", 2)).then(storeAtWitness("a1"))
      .then(startSeal("a1")).then(fence("a1")).then(finishSeal("a1")).then(finalEvent("a1"))
      .expect(safe and billsOf(2) == 1 and poolOf(journal, "a") == 0)
  }
  run lineDeliveredTwiceTest = {
    init.then(grant("b", 2)).then(copyGrant("b")).then(take("b1", 2)).then(send("b1"))
      .then(deliver("b1")).then(deliver("b1")).then(readJournal("b1"))
      .expect(safe and journal.slices.get("b1") == 2 and journal.seqs.get("b1") == 1)
  }
}
