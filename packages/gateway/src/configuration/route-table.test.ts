import test from 'ava';
import {testConfiguration, testRoute} from './_test-configuration.js';
import {RouteTable} from './route-table.js';

test('the longest prefix of the host wins', t => {
	const inner = testRoute({id: 'inner' as never, pathPrefix: '/labels/print/'});
	const table = new RouteTable(testConfiguration({routes: [testRoute(), inner]}));
	t.is(table.findRoute('desk.example', '/labels/print/7')?.id, inner.id);
	t.is(table.findRoute('DESK.example', '/labels/7')?.id, testRoute().id);
	t.is(table.findRoute('desk.example', '/labels'), undefined);
	t.is(table.findRoute('other.example', '/labels/7'), undefined);
});

test('a key belongs to one workspace', t => {
	const table = new RouteTable(testConfiguration());
	t.is(table.findWorkspaceByKey('k2')?.id, 'mills' as never);
	t.is(table.findWorkspaceByKey('k3'), undefined);
});

test('the model target of a service is the shortest of the routes that choose among its models', t => {
	const sizes = ['small', 'large'] as never[];
	const table = new RouteTable(testConfiguration({
		routes: [
			testRoute({targetLatency: 150}),
			testRoute({
				id: 'long' as never, pathPrefix: '/long/', targetLatency: 6000, sizes,
			}),
			testRoute({
				id: 'short' as never, pathPrefix: '/short/', targetLatency: 1500, sizes,
			}),
		],
	}));
	t.is(table.findModelTarget('labels' as never), 1500);
	t.is(new RouteTable(testConfiguration()).findModelTarget('labels' as never), undefined);
});

test('the routes with models of a service are those that send it prompts', t => {
	const prompts = testRoute({id: 'prompts' as never, pathPrefix: '/prompts/', sizes: ['small' as never]});
	const table = new RouteTable(testConfiguration({routes: [testRoute(), prompts]}));
	t.deepEqual(table.routesWithModels('labels' as never), [prompts]);
	t.deepEqual(table.routesWithModels('other' as never), []);
});

test('workspaces of the same priority leave the urgency to the routes, and a less urgent workspace comes after all of them', t => {
	const routes = [testRoute({priority: 0}), testRoute({id: 'patient' as never, pathPrefix: '/patient/', priority: 2})];
	const same = {priority: 1};
	const later = {priority: 2};
	const table = new RouteTable({...testConfiguration({routes}), workspaces: [{id: 'mills' as never, keys: [], ...same}, {id: 'offices' as never, keys: [], ...later}]});
	t.deepEqual(routes.map(route => table.urgencyOf(route, same)), [0, 2]);
	t.deepEqual(routes.map(route => table.urgencyOf(route, later)), [3, 5]);
	t.deepEqual(routes.map(route => table.urgencyOf(route, undefined)), [0, 2]);
	t.deepEqual(routes.map(route => new RouteTable(testConfiguration({routes})).urgencyOf(route, undefined)), [0, 2]);
});

test('a table of more routes and workspaces than a call may have arguments can be created', t => {
	const count = 150_000;
	const routes = Array.from({length: count}, (_, index) => testRoute({id: `r${index}` as never, pathPrefix: `/${index}/`}));
	const workspaces = Array.from({length: count}, (_, index) => ({id: `w${index}` as never, keys: [], priority: 1 + (index % 3)}));
	const table = new RouteTable({...testConfiguration(), routes, workspaces});
	t.is(table.urgencyOf(routes[0]!, {priority: 2}), 5);
});
