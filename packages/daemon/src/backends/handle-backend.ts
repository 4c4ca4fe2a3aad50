import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Announcement, announcementSchema, failure} from '@valehitch/core';
import {type Settings} from '@valehitch/settings';
import {answerProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {answerJson} from '../answer-json.js';
import {bearerDigest} from '../bearer.js';
import {handleRatings, ratingsPath} from '../ratings/handle-ratings.js';
import {type IntakeCount} from '../ratings/rating-intake.js';
import {type Rating} from '../ratings/rating.js';

const maximumAnnouncementBytes = 65_536;

/** What the back ends' port works with. */
export type BackendContext = {
	readonly settings: Settings;
	/** Takes an announcement and hands it on. */
	readonly onAnnouncement: (announcement: Announcement) => void;
	/** Takes ratings and counts what became of them. */
	readonly onRatings: (ratings: readonly Rating[]) => IntakeCount;
};

/**
Handles each request on the back ends' port.

@param request The request.
@param response The response.
@param context What the port works with.
@example
```ts
await handleBackend(request, response, {settings, onAnnouncement, onRatings});
```
*/
export async function handleBackend(request: IncomingMessage, response: ServerResponse, {settings, onAnnouncement, onRatings}: BackendContext): Promise<void> {
	const isRatings = request.url === ratingsPath;
	if (request.method !== 'POST' || (request.url !== '/v1/announcements' && !isRatings)) {
		answerProblem(response, failure('not-found', `Got ${request.method ?? ''} ${request.url ?? ''}, wanted POST /v1/announcements or ${ratingsPath}`));
		return;
	}

	if (!settings.keys.backends.includes(bearerDigest(request) ?? '')) {
		answerProblem(response, failure('unauthenticated', 'Got no key of a back end, wanted Authorization: Bearer KEY'));
		return;
	}

	if (isRatings) {
		await handleRatings(request, response, onRatings);
		return;
	}

	const body = await readBody(request, maximumAnnouncementBytes);
	if (body.isLeft()) {
		answerProblem(response, failure('malformed-request', 'Got no whole announcement'));
		return;
	}

	parseJsonBody({bytes: body.extract() as Uint8Array, schema: announcementSchema}).caseOf({
		Left(failed) {
			answerProblem(response, failed);
		},
		Right(announcement) {
			onAnnouncement(announcement);
			answerJson(response, {renewAfterMilliseconds: settings.timing.announcementRenewMilliseconds});
		},
	});
}
