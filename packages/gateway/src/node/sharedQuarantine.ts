/** What the quarantine of one instance learns, told to all instances. */

import type { FleetNews, QuarantineEvent } from '@flamingocourse/core';
import type { QuarantineExchange, QuarantineNews } from '@flamingocourse/router';
import type { NewsService } from './newsService.js';

/** Requests in one piece of news. */
const MAX_IN_FLIGHT = 256;

/** Carries the quarantine's events as news of the fleet. */
export class SharedQuarantine implements QuarantineExchange {
  readonly #news: NewsService;

  constructor(news: NewsService) {
    this.#news = news;
  }

  publish(event: QuarantineEvent): void {
    if (event.type === 'finished') this.#news.publish(event, 'later');
    if (event.type !== 'crashed') return;
    const { server, inFlight } = event;
    for (let from = 0; from < inFlight.length; from += MAX_IN_FLIGHT) {
      const part = inFlight.slice(from, from + MAX_IN_FLIGHT);
      this.#news.publish({ type: 'crashed', server, inFlight: part });
    }
  }

  onNews(listener: (news: QuarantineNews) => void): void {
    this.#news.onNews(({ news, at }) => {
      listener({ type: 'event', event: toEvent(news), at });
    });
  }
}

function toEvent(news: FleetNews): QuarantineEvent {
  return news.type === 'crashed' ? { ...news, isShared: true } : news;
}
