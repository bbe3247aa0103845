export * from './loanBook.js';
export * from './memberWatch.js';
export * from './prepaidBudgets.js';
export * from './prepaidHolder.js';
export * from './prepaidPage.js';
export * from './prepaidSizing.js';
export * from './prepaidView.js';
export * from './spenders.js';
