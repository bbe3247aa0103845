// Rights to spend, bill and run: ledger, journals, witnesses, seals, claims and revisions.
//
// One client account, two data centres, three routers ("holders"). a1 and a2 keep lines for each
// other; b1 has no witness. Request 1 is non-idempotent, request 2 is idempotent; any router may
// get either of them. A router that is frozen or killed is one that takes no further step; a late
// wake is a step taken after its seal. A partition from the platform is a time without `deliver`,
// `readJournal`, `grant` and the like; a lost reply is a `deliver` that no `readJournal` follows,
// and a line sent twice is a second `deliver`.
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
  pure val MOST_LINES = 6
  pure val IDLE = { phase: "idle", req: 0, amount: 0, lineAt: 0 }

  pure def homeOf(h: str): str = if (h == "b1") "b" else "a"
  pure def hasWitness(h: str): bool = h != "b1"
  pure def witnessOf(h: str): str = if (h == "a1") "a2" else "a1"
  pure def least(x: int, y: int): int = if (x < y) x else y
  pure def most(x: int, y: int): int = if (x > y) x else y

  pure def heldIn(j: Journal, d: str): int =
    HOLDERS.filter(h => homeOf(h) == d).fold(0, (sum, h) => sum + j.slices.get(h))

  pure def poolOf(j: Journal, d: str): int =
    most(0, j.granted.get(d) - j.returned.get(d) - j.spent.get(d) - heldIn(j, d))

  // effect of a holder's next line; bills and intents of a request that is done change nothing.
  pure def applyNext(j: Journal, h: str, line: Line): Journal = {
    val moved = { ...j, seqs: j.seqs.setBy(h, s => s + 1) }
    val isDone = j.done.get(h).contains(line.req)
    if (line.kind == "take")
      { ...moved, slices: j.slices.setBy(h, s => s + least(line.amount, poolOf(j, homeOf(h)))) }
    else if (line.kind == "give")
      { ...moved, slices: j.slices.setBy(h, s => s - line.amount) }
    else if (line.kind == "intent")
      { ...moved, intents: j.intents.setBy(h, s => if (isDone) s else s.union(Set(line.req))) }
    else if (line.kind == "notRun")
      { ...moved, intents: j.intents.setBy(h, s => s.exclude(Set(line.req))) }
    else if (isDone) moved
    else
      {
        ...moved,
        slices: j.slices.setBy(h, s => s - line.amount),
        spent: j.spent.setBy(homeOf(h), s => s + line.amount),
        done: j.done.setBy(h, s => s.union(Set(line.req))),
        intents: j.intents.setBy(h, s => s.exclude(Set(line.req))),
        bills: j.bills.append({ holder: h, req: line.req, cost: line.amount })
      }
  }

  // applies the holder's lines up to `upTo`; those that are in already count once.
  pure def applyUpTo(j: Journal, h: str, history: List[Line], upTo: int): Journal =
    range(j.seqs.get(h), most(j.seqs.get(h), upTo)).foldl(j, (acc, i) => applyNext(acc, h, history[i]))

  var limit: int
  var paid: int
  var toppedUp: int
  var ledgerGranted: str -> int
  var ledgerReturned: str -> int
  var journal: Journal
  // every line that a holder ever wrote; a line's place in the list is its sequence number.
  var lines: str -> List[Line]
  // lines sent and possibly still under way; they may arrive any number of times.
  var sent: str -> int
  // what the holder last read of the journal.
  var seenSeq: str -> int
  var seenSlice: str -> int
  var seenOpen: str -> bool
  // what the holder's witness keeps, and whether it was fenced after `sealing` was stored.
  var kept: str -> int
  var fenced: str -> bool
  // whether the witness has read that the holder is not open any more.
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

  // cost of lines that the holder's view does not show yet.
  def owed(h: str): int =
    range(seenSeq.get(h), lines.get(h).length()).foldl(0, (sum, i) =>
      val line = lines.get(h)[i]
      if (line.kind == "bill" or line.kind == "give") sum + line.amount else sum)

  def free(h: str): int = {
    val work = runs.get(h)
    val reserved = if (Set("reserved", "intended", "running", "ownBill").contains(work.phase)) work.amount else 0
    seenSlice.get(h) - owed(h) - reserved
  }

  def keptSeq(h: str): int = most(seenSeq.get(h), kept.get(h))
  def mayWrite(h: str): bool = seenOpen.get(h) and lines.get(h).length() < MOST_LINES
  def withLine(h: str, kind: str, req: int, amount: int): str -> List[Line] =
    lines.setBy(h, l => l.append({ kind: kind, req: req, amount: amount }))

  action keepLedger = all { limit' = limit, paid' = paid, toppedUp' = toppedUp,
    ledgerGranted' = ledgerGranted, ledgerReturned' = ledgerReturned }
  action keepViews = all { seenSeq' = seenSeq, seenSlice' = seenSlice, seenOpen' = seenOpen }
  action keepWitness = all { kept' = kept, fenced' = fenced, refused' = refused }
  action keepRequests = all { started' = started, claims' = claims, runCount' = runCount,
    answered' = answered, answers' = answers, notRun' = notRun, dispatched' = dispatched }
  action keepRevisions = all { published' = published, revisions' = revisions, revisionFell' = revisionFell }
  // everything but lines, runs and the requests' record.
  action keepStores = all { keepLedger, journal' = journal, sent' = sent, keepViews, keepWitness, keepRevisions }
  // everything but the ledger and the journal.
  action keepRouters = all { lines' = lines, sent' = sent, keepViews, keepWitness, runs' = runs, keepRequests, keepRevisions }

  action init = all {
    limit' = OPENING, paid' = OPENING, toppedUp' = 0,
    ledgerGranted' = DATA_CENTRES.mapBy(_ => 0), ledgerReturned' = DATA_CENTRES.mapBy(_ => 0),
    journal' = {
      granted: DATA_CENTRES.mapBy(_ => 0), returned: DATA_CENTRES.mapBy(_ => 0),
      spent: DATA_CENTRES.mapBy(_ => 0), states: HOLDERS.mapBy(_ => "open"),
      seqs: HOLDERS.mapBy(_ => 0), slices: HOLDERS.mapBy(_ => 0),
      intents: HOLDERS.mapBy(_ => Set()), done: HOLDERS.mapBy(_ => Set()), bills: List()
    },
    lines' = HOLDERS.mapBy(_ => List()), sent' = HOLDERS.mapBy(_ => 0),
    seenSeq' = HOLDERS.mapBy(_ => 0), seenSlice' = HOLDERS.mapBy(_ => 0), seenOpen' = HOLDERS.mapBy(_ => true),
    kept' = HOLDERS.mapBy(_ => 0), fenced' = HOLDERS.mapBy(_ => false), refused' = HOLDERS.mapBy(_ => false),
    runs' = HOLDERS.mapBy(_ => IDLE), started' = Set(), claims' = REQUESTS.mapBy(_ => ""),
    runCount' = REQUESTS.mapBy(_ => 0), answered' = Set(), answers' = REQUESTS.mapBy(_ => 0),
    notRun' = Set(), dispatched' = Set(),
    published' = 1, revisions' = HOLDERS.mapBy(_ => 1), revisionFell' = false
  }

  // ledger and counters between ledger and journal

  action grant(d: str, amount: int): bool = {
    val committed = DATA_CENTRES.fold(0, (sum, c) => sum + ledgerGranted.get(c) - ledgerReturned.get(c))
    all {
      limit - committed > 0,
      ledgerGranted' = ledgerGranted.setBy(d, g => g + least(amount, limit - committed)),
      limit' = limit, paid' = paid, toppedUp' = toppedUp, ledgerReturned' = ledgerReturned,
      journal' = journal, keepRouters
    }
  }
  action copyGrant(d: str): bool = all {
    ledgerGranted.get(d) > journal.granted.get(d),
    journal' = { ...journal, granted: journal.granted.set(d, ledgerGranted.get(d)) },
    keepLedger, keepRouters
  }
  action startReturn(d: str): bool = all {
    poolOf(journal, d) > 0,
    journal' = { ...journal, returned: journal.returned.setBy(d, r => r + 1) },
    keepLedger, keepRouters
  }
  action copyReturn(d: str): bool = all {
    journal.returned.get(d) > ledgerReturned.get(d),
    ledgerReturned' = ledgerReturned.set(d, journal.returned.get(d)),
    limit' = limit, paid' = paid, toppedUp' = toppedUp, ledgerGranted' = ledgerGranted,
    journal' = journal, keepRouters
  }
  // the same receipt may come twice, after a lost reply; it counts once.
  action topUp = all {
    toppedUp < 2,
    limit' = if (toppedUp == 0) limit + TOP_UP else limit,
    paid' = if (toppedUp == 0) paid + TOP_UP else paid,
    toppedUp' = toppedUp + 1,
    ledgerGranted' = ledgerGranted, ledgerReturned' = ledgerReturned,
    journal' = journal, keepRouters
  }

  // a holder's lines

  action take(h: str, amount: int): bool = all {
    mayWrite(h),
    lines' = withLine(h, "take", 0, amount),
    runs' = runs, keepRequests, keepStores
  }
  action give(h: str): bool = all {
    mayWrite(h), free(h) > 0,
    lines' = withLine(h, "give", 0, 1),
    runs' = runs, keepRequests, keepStores
  }
  action send(h: str): bool = all {
    sent.get(h) < lines.get(h).length(), seenSeq.get(h) < lines.get(h).length(), seenOpen.get(h),
    sent' = sent.set(h, lines.get(h).length()),
    lines' = lines, keepLedger, journal' = journal, keepViews, keepWitness, runs' = runs, keepRequests, keepRevisions
  }
  action deliver(h: str): bool = all {
    sent.get(h) > 0,
    journal' = if (journal.states.get(h) == "open") applyUpTo(journal, h, lines.get(h), sent.get(h)) else journal,
    keepLedger, keepRouters
  }
  action readJournal(h: str): bool = all {
    seenSeq' = seenSeq.set(h, journal.seqs.get(h)),
    seenSlice' = seenSlice.set(h, journal.slices.get(h)),
    seenOpen' = seenOpen.set(h, journal.states.get(h) == "open"),
    runs' = if (journal.states.get(h) == "open") runs else runs.set(h, IDLE),
    lines' = lines, sent' = sent, keepLedger, journal' = journal, kept' = kept, fenced' = fenced,
    refused' = HOLDERS.mapBy(o =>
      refused.get(o) or (hasWitness(o) and witnessOf(o) == h and journal.states.get(o) != "open")),
    keepRequests, keepRevisions
  }
  action keep(h: str): bool = all {
    hasWitness(h), seenOpen.get(h), not(fenced.get(h)), not(refused.get(h)),
    kept.get(h) < lines.get(h).length(), seenSeq.get(h) < lines.get(h).length(),
    kept' = kept.set(h, lines.get(h).length()), fenced' = fenced, refused' = refused,
    lines' = lines, sent' = sent, keepLedger, journal' = journal, keepViews, runs' = runs, keepRequests, keepRevisions
  }
  action replay(h: str): bool = all {
    kept.get(h) > journal.seqs.get(h), journal.states.get(h) == "open",
    journal' = applyUpTo(journal, h, lines.get(h), kept.get(h)),
    keepLedger, keepRouters
  }

  // sealing

  action startSeal(h: str): bool = all {
    journal.states.get(h) == "open",
    journal' = { ...journal, states: journal.states.set(h, "sealing") },
    keepLedger, keepRouters
  }
  action fence(h: str): bool = all {
    hasWitness(h), journal.states.get(h) == "sealing", not(fenced.get(h)),
    fenced' = fenced.set(h, true), kept' = kept, refused' = refused,
    lines' = lines, sent' = sent, keepLedger, journal' = journal, keepViews, runs' = runs, keepRequests, keepRevisions
  }
  action finishSeal(h: str): bool = {
    val last = applyUpTo(journal, h, lines.get(h), kept.get(h))
    all {
      journal.states.get(h) == "sealing", fenced.get(h) or not(hasWitness(h)),
      journal' = { ...last, states: last.states.set(h, "sealed"), slices: last.slices.set(h, 0) },
      keepLedger, keepRouters
    }
  }

  // requests

  action start(h: str, req: int): bool = all {
    seenOpen.get(h), runs.get(h).phase == "idle", not(started.contains((h, req))),
    runs' = runs.set(h, { ...IDLE, phase: if (req == NON_IDEMPOTENT) "claiming" else "claimed", req: req }),
    started' = started.union(Set((h, req))),
    claims' = claims, runCount' = runCount, answered' = answered, answers' = answers, notRun' = notRun, dispatched' = dispatched,
    lines' = lines, keepStores
  }
  // before dispatch for a non-idempotent request, before the bill for an idempotent one.
  action claim(h: str): bool = {
    val work = runs.get(h)
    val owner = claims.get(work.req)
    val mine = owner == "" or owner == h
    all {
      work.phase == "claiming" or work.phase == "running",
      work.phase == "claiming" or work.req != NON_IDEMPOTENT,
      claims' = if (mine) claims.set(work.req, h) else claims,
      runs' = runs.set(h, if (not(mine)) IDLE else { ...work, phase: if (work.phase == "claiming") "claimed" else "ownBill" }),
      started' = started, runCount' = runCount, answered' = answered, answers' = answers, notRun' = notRun, dispatched' = dispatched,
      lines' = lines, keepStores
    }
  }
  // evidence: the owner is sealed and its record shows neither bill nor start.
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
      lines' = lines, keepStores
    }
  }
  action reserve(h: str): bool = all {
    runs.get(h).phase == "claimed", seenOpen.get(h), free(h) >= WORST_CASE,
    runs' = runs.setBy(h, r => { ...r, phase: "reserved", amount: WORST_CASE }),
    lines' = lines, keepRequests, keepStores
  }
  action intent(h: str): bool = all {
    runs.get(h).phase == "reserved", runs.get(h).req == NON_IDEMPOTENT, mayWrite(h),
    runs' = runs.setBy(h, r => { ...r, phase: "intended", lineAt: lines.get(h).length() + 1 }),
    lines' = withLine(h, "intent", runs.get(h).req, 0),
    keepRequests, keepStores
  }
  action dispatch(h: str): bool = {
    val work = runs.get(h)
    all {
      (work.phase == "reserved" and work.req != NON_IDEMPOTENT)
        or (work.phase == "intended" and keptSeq(h) >= work.lineAt),
      runs' = runs.set(h, { ...work, phase: "running" }),
      runCount' = runCount.setBy(work.req, n => n + 1),
      dispatched' = dispatched.union(Set((h, work.req))),
      started' = started, claims' = claims, answered' = answered, answers' = answers, notRun' = notRun,
      lines' = lines, keepStores
    }
  }
  // the intent was not known to be kept in time: never dispatched, and the record says so.
  action giveUp(h: str): bool = all {
    runs.get(h).phase == "intended", mayWrite(h),
    lines' = withLine(h, "notRun", runs.get(h).req, 0),
    runs' = runs.set(h, IDLE),
    notRun' = notRun.union(Set((h, runs.get(h).req))),
    started' = started, claims' = claims, runCount' = runCount, answered' = answered, answers' = answers, dispatched' = dispatched,
    keepStores
  }
  action bill(h: str, cost: int): bool = {
    val work = runs.get(h)
    all {
      work.phase == "ownBill" or (work.phase == "running" and work.req == NON_IDEMPOTENT), mayWrite(h),
      lines' = withLine(h, "bill", work.req, least(cost, work.amount)),
      runs' = runs.set(h, { ...work, phase: "billed", amount: 0, lineAt: lines.get(h).length() + 1 }),
      keepRequests, keepStores
    }
  }
  action finalEvent(h: str): bool = {
    val work = runs.get(h)
    all {
      work.phase == "billed", keptSeq(h) >= work.lineAt,
      answered' = answered.union(Set(work.req)),
      answers' = answers.setBy(work.req, n => n + 1),
      runs' = runs.set(h, IDLE),
      started' = started, claims' = claims, runCount' = runCount, notRun' = notRun, dispatched' = dispatched,
      lines' = lines, keepStores
    }
  }

  // configuration

  action publish = all {
    published < 3, published' = published + 1, revisions' = revisions, revisionFell' = revisionFell,
    keepLedger, journal' = journal, lines' = lines, sent' = sent, keepViews, keepWitness, runs' = runs, keepRequests
  }
  // any revision ever published may arrive, late and out of order.
  action merge(h: str, revision: int): bool = {
    val latest = most(revisions.get(h), revision)
    all {
      revision <= published,
      revisions' = revisions.set(h, latest),
      revisionFell' = (revisionFell or latest < revisions.get(h)),
      published' = published,
      keepLedger, journal' = journal, lines' = lines, sent' = sent, keepViews, keepWitness, runs' = runs, keepRequests
    }
  }

  action step = {
    nondet h = HOLDERS.oneOf()
    nondet d = DATA_CENTRES.oneOf()
    nondet amount = 1.to(2).oneOf()
    nondet req = REQUESTS.oneOf()
    nondet revision = 1.to(3).oneOf()
    // steps that end, repeat or undo come seldom, or no request would ever get its answer.
    nondet chance = 1.to(12).oneOf()
    val seldom = chance == 1
    any {
      grant(d, amount), copyGrant(d), copyReturn(d),
      all { seldom, startReturn(d) },
      all { seldom, topUp },
      all { seldom or (poolOf(journal, homeOf(h)) > 0 and free(h) < WORST_CASE), take(h, amount) },
      all { seldom, give(h) },
      send(h),
      all { seldom or sent.get(h) > journal.seqs.get(h), deliver(h) },
      all { seldom or seenSeq.get(h) < journal.seqs.get(h), readJournal(h) },
      keep(h),
      all { seldom, replay(h) },
      all { seldom, startSeal(h) },
      fence(h), finishSeal(h),
      start(h, req), claim(h), takeOver(h), reserve(h), intent(h), dispatch(h),
      all { seldom, giveUp(h) },
      bill(h, amount), finalEvent(h),
      all { seldom, publish },
      all { seldom, merge(h, revision) }
    }
  }

  // what must always hold

  val spentInAll = DATA_CENTRES.fold(0, (sum, d) => sum + journal.spent.get(d))
  val grantedWithinLimit =
    DATA_CENTRES.fold(0, (sum, d) => sum + ledgerGranted.get(d) - ledgerReturned.get(d)) <= limit
  val journalsWithinGrant = DATA_CENTRES.forall(d =>
    journal.spent.get(d) + heldIn(journal, d) <= journal.granted.get(d) - journal.returned.get(d))
  val noOverspend = and { spentInAll <= paid, limit <= paid, grantedWithinLimit, journalsWithinGrant,
    HOLDERS.forall(h => seenOpen.get(h) implies free(h) >= 0) }
  def billsOf(req: int): int = journal.bills.select(b => b.req == req).length()
  val billedAtMostOnce = REQUESTS.forall(r => billsOf(r) <= 1)

  // journal once everything under way has arrived and every holder is sealed with its witness.
  val settled = HOLDERS.fold(journal, (j, h) =>
    if (j.states.get(h) == "sealed") j else applyUpTo(j, h, lines.get(h), kept.get(h)))
  val answeredBilledOnce = answered.forall(r =>
    settled.bills.select(b => b.req == r).length() == 1)
  val settledWithinPaid = DATA_CENTRES.fold(0, (sum, d) => sum + settled.spent.get(d)) <= paid
  val runsAtMostOnce = runCount.get(NON_IDEMPOTENT) <= 1
  val notRunIsTrue = notRun.forall(t => not(dispatched.contains(t)))
  val revisionNeverFalls = not(revisionFell)

  val safe = and { noOverspend, billedAtMostOnce, answeredBilledOnce, settledWithinPaid, runsAtMostOnce,
    notRunIsTrue, revisionNeverFalls }

  // states that a run has to reach, or it has shown nothing.
  val someAnswered = answered.size() > 0
  val someSealedAfterBill = HOLDERS.exists(h =>
    journal.states.get(h) == "sealed" and journal.done.get(h).size() > 0)
  val someIntentKept = HOLDERS.exists(h => journal.intents.get(h).size() > 0)
  val someKeptByWitness = HOLDERS.exists(h => kept.get(h) > journal.seqs.get(h))

  run lateHolderTest = {
    init.then(grant("a", 2)).then(copyGrant("a")).then(take("a1", 2)).then(send("a1"))
      .then(deliver("a1")).then(readJournal("a1")).then(start("a1", 2)).then(reserve("a1"))
      .then(dispatch("a1")).then(claim("a1")).then(bill("a1", 2)).then(keep("a1"))
      .then(startSeal("a1")).then(fence("a1")).then(finishSeal("a1")).then(finalEvent("a1"))
      .expect(safe and billsOf(2) == 1 and poolOf(journal, "a") == 0)
  }
  run lineSentTwiceTest = {
    init.then(grant("b", 2)).then(copyGrant("b")).then(take("b1", 2)).then(send("b1"))
      .then(deliver("b1")).then(deliver("b1")).then(readJournal("b1"))
      .expect(safe and journal.slices.get("b1") == 2 and journal.seqs.get("b1") == 1)
  }
}
