/** Limits retries to a fraction of all requests, so that retries do not amplify an overload. */

/** Settings of a retry budget. */
export interface RetryBudgetSettings {
  /** Retries earned by each first attempt. @default 0.2 */
  ratio: number;
  /** Maximum number of retries that can be accumulated. @default 20 */
  max: number;
}

/** Current state of a retry budget. */
export interface RetryBudget {
  settings: RetryBudgetSettings;
  tokens: number;
}

const defaultSettings: RetryBudgetSettings = { ratio: 0.2, max: 20 };

/**
 * Creates a full budget.
 *
 * @example
 * let budget = createRetryBudget();
 * budget = earnRetry(budget);
 * const spent = spendRetry(budget);
 * if (spent) budget = spent;
 */
export function createRetryBudget(settings: Partial<RetryBudgetSettings> = {}): RetryBudget {
  const all = { ...defaultSettings, ...settings };
  return { settings: all, tokens: all.max };
}

/** Adds the retries earned by one first attempt. */
export function earnRetry(budget: RetryBudget): RetryBudget {
  const { ratio, max } = budget.settings;
  return { ...budget, tokens: Math.min(max, budget.tokens + ratio) };
}

/** Consumes one retry; `undefined` if none is left and the request must be refused. */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens < 1 ? undefined : { ...budget, tokens: budget.tokens - 1 };
}
