import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Announcement, announcementSchema, failure} from '@valehitch/core';
import {type Settings} from '@valehitch/settings';
import {sendProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {answerJson} from '../answer-json.js';
import {bearerDigest} from '../bearer.js';
import {handleRatings, ratingsPath} from '../ratings/handle-ratings.js';
import {type RatingCounts} from '../ratings/record-ratings.js';
import {type Rating} from '../ratings/rating.js';

const maximumAnnouncementBytes = 65_536;

/** The dependencies of the request handler of the back-end port. */
export type BackendContext = {
	readonly settings: Settings;
	/** Called with each valid announcement. */
	readonly onAnnouncement: (announcement: Announcement) => void;
	/** Called with the ratings of each valid request; returns how many were accepted, duplicated and unknown. */
	readonly onRatings: (ratings: readonly Rating[]) => RatingCounts;
};

/**
Handles a request on the back-end port.

@param request The request.
@param response The response.
@param context The settings and the callbacks for valid requests.
@example
```ts
await handleBackend(request, response, {settings, onAnnouncement, onRatings});
```
*/
export async function handleBackend(request: IncomingMessage, response: ServerResponse, {settings, onAnnouncement, onRatings}: BackendContext): Promise<void> {
	const isRatings = request.url === ratingsPath;
	if (request.method !== 'POST' || (request.url !== '/v1/announcements' && !isRatings)) {
		sendProblem(response, failure('not-found', `No route for ${request.method ?? ''} ${request.url ?? ''}; use POST /v1/announcements or POST ${ratingsPath}`));
		return;
	}

	if (!settings.keys.backends.includes(bearerDigest(request) ?? '')) {
		sendProblem(response, failure('unauthenticated', 'Missing or unknown back-end key; send Authorization: Bearer KEY'));
		return;
	}

	if (isRatings) {
		await handleRatings(request, response, onRatings);
		return;
	}

	const body = await readBody(request, maximumAnnouncementBytes);
	if (body.isLeft()) {
		sendProblem(response, failure('malformed-request', `The announcement is incomplete or larger than ${maximumAnnouncementBytes} bytes`));
		return;
	}

	parseJsonBody({bytes: body.extract() as Uint8Array, schema: announcementSchema}).caseOf({
		Left(failed) {
			sendProblem(response, failed);
		},
		Right(announcement) {
			onAnnouncement(announcement);
			answerJson(response, {renewAfterMilliseconds: settings.timing.announcementRenewMilliseconds});
		},
	});
}
