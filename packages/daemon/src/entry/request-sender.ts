import {type ServerId} from '@valehitch/core';
import {type Path, RequestPath, type ServiceLinks} from '@valehitch/routing';
import {
	type HttpRequest, type HttpRequestFailure, type HttpResponse, nextPoll, type Relay, sendHttpRequest,
} from '@valehitch/transport';
import {type Either, Left} from 'purify-ts';
import {type ServerConnections} from './server-connections.js';

/** The server may be the only one of its service, so that a second failed connection may never come. */
const directFailures = 1;

/** Sends an HTTP request to a backend server. */
export type SendRequest = (request: HttpRequest) => Promise<Either<HttpRequestFailure, HttpResponse>>;

/**
Sends the attempts of one request, over the links of this daemon or through another one.

@example
```ts
const sender = new RequestSender({links: connections.links.of(group), relays: connections.relays});
const answer = await sender.send(server, request);
```
*/
export class RequestSender {
	readonly #links: ServiceLinks;
	readonly #path: RequestPath<Relay>;
	#connectionFailures = 0;

	constructor(connections: {readonly links: ServiceLinks; readonly relays: Pick<ServerConnections['relays'], 'choose'>}) {
		this.#links = connections.links;
		this.#path = new RequestPath({...connections, directFailures});
	}

	/**
	Sends an attempt. It goes on with another path as long as it is certain that no byte of it reached the server.

	@param server The server.
	@param request The request.
	@returns The response, or why there was none.
	*/
	async send(server: ServerId, request: HttpRequest): Promise<Either<HttpRequestFailure, HttpResponse>> {
		let path: Path<Relay> | undefined = this.#path.next(this.#connectionFailures);
		while (path.type !== 'none') {
			const relay: Relay | undefined = path.type === 'relayed' ? path.relay : undefined;
			// The signal is aborted here if a request is read late and its caller has left meanwhile.
			await nextPoll();
			const answer = await sendHttpRequest({
				...request,
				relay,
				onConnect: () => {
					this.#links.recordConnected();
				},
			});
			path = answer.caseOf({
				Left: failed => request.signal.aborted ? undefined : this.#nextPath(failed, {server, relay}),
				Right: () => undefined,
			});
			if (path === undefined) {
				return answer;
			}
		}

		return Left({
			neverSent: true, onKeptConnection: false, isRelayUnavailable: false, isWithheld: false, message: 'This daemon reaches no backend server, and no other daemon can be asked',
		});
	}

	/** Records a connection that was not opened, and returns the path to try next; undefined if there is none. */
	#nextPath({neverSent, isRelayUnavailable, isWithheld}: HttpRequestFailure, {server, relay}: {readonly server: ServerId; readonly relay: Relay | undefined}): Path<Relay> | undefined {
		if (!neverSent || isWithheld) {
			return undefined;
		}

		if (relay === undefined) {
			this.#connectionFailures++;
			this.#links.recordUnreachable(server);
			const next = this.#path.next(this.#connectionFailures);
			return next.type === 'relayed' ? next : undefined;
		}

		if (!isRelayUnavailable) {
			return undefined;
		}

		this.#path.exclude(relay);
		return this.#path.next(this.#connectionFailures);
	}
}
