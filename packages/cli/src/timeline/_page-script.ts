/** The script of the timeline page: searches events, and highlights the events of one request or change. */
export const pageScript = `
const marks = [...document.querySelectorAll('.event')];
const rows = [...document.querySelectorAll('tbody tr')];
const trace = document.querySelector('#trace');
const svg = document.querySelector('#lanes svg');
document.querySelector('#names').style.setProperty('--up', -svg.getAttribute('height') + 'px');
function choose(index) {
	const key = rows[index].dataset.key;
	const isChosen = element => element.dataset.index === String(index) || (key !== '' && element.dataset.key === key);
	for (const element of [...marks, ...rows]) {
		element.classList.toggle('chosen', isChosen(element));
	}
	trace.setAttribute('points', marks.filter(isChosen).map(mark => mark.dataset.x + ',' + mark.dataset.y).join(' '));
}
for (const mark of marks) {
	mark.addEventListener('click', () => {
		choose(Number(mark.dataset.index));
		rows[Number(mark.dataset.index)].scrollIntoView({block: 'center'});
	});
}
for (const row of rows) {
	row.addEventListener('click', () => {
		choose(Number(row.dataset.index));
		showLane(Number(row.dataset.index));
	});
}
document.querySelector('#search').addEventListener('input', event => {
	const wanted = event.target.value.toLowerCase();
	for (const [index, row] of rows.entries()) {
		row.hidden = !row.textContent.toLowerCase().includes(wanted);
		marks[index].classList.toggle('faded', row.hidden);
	}
});
function showLane(index) {
	document.querySelector('#lanes').scrollTo({left: Number(marks[index].dataset.x) - 400});
}
if (location.hash.startsWith('#event-')) {
	choose(Number(location.hash.slice(7)));
	showLane(Number(location.hash.slice(7)));
}
`;
