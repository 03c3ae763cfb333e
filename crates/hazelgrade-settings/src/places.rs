//! Which place each name has. The module and the jobs in hand go by places, so a name keeps its place while it is in use,
//! and one that is taken away keeps it until nothing can name it any more: no job in hand, and no repeat that may come.

use hazelgrade::time::{Span, Time};

#[derive(Clone, Debug, PartialEq)]
struct Place {
    name: String,
    /// Since when it is no longer in use, and how long from then on a repeat may still name it.
    gone: Option<Time>,
    rest: Span,
}

/// Places that names have had; a place is never taken away.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Places(Vec<Place>);

/// Where the names of a new version are.
#[derive(Clone, Debug, PartialEq)]
pub struct Assigned {
    pub places: Places,
    /// For each name, its place.
    pub at: Vec<usize>,
    /// Places that stand for something else than before.
    pub anew: Vec<usize>,
}

impl Places {
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The name at a place, and whether it is in use.
    pub fn name(&self, place: usize) -> Option<(&str, bool)> {
        self.0.get(place).map(|place| (place.name.as_str(), place.gone.is_none()))
    }

    /// Places for these names, each with the time for which it must rest once it is taken away; `busy` says of a
    /// place whether a job in hand names it. An error if that takes more than `most` places.
    pub fn assign(
        &self,
        now: Time,
        names: &[(&str, Span)],
        most: usize,
        busy: impl Fn(usize) -> bool,
    ) -> Result<Assigned, String> {
        let mut places = self.0.clone();
        let (mut at, mut anew) = (vec![None; names.len()], Vec::new());
        for (place, taken) in places.iter_mut().enumerate() {
            match names.iter().position(|(name, _)| *name == taken.name) {
                Some(which) => {
                    at[which] = Some(place);
                    (taken.gone, taken.rest) = (None, taken.rest.max(names[which].1));
                }
                None => {
                    taken.gone.get_or_insert(now);
                }
            }
        }
        let mut free = (0..places.len())
            .filter(|place| places[*place].gone.is_some_and(|gone| now.since(gone) > places[*place].rest))
            .filter(|place| !busy(*place))
            .collect::<Vec<_>>()
            .into_iter();
        for (which, (name, rest)) in
            names.iter().enumerate().filter(|(which, _)| at[*which].is_none()).collect::<Vec<_>>()
        {
            let taken = Place { name: (*name).to_owned(), gone: None, rest: *rest };
            let place = match free.next() {
                Some(place) => {
                    places[place] = taken;
                    anew.push(place);
                    place
                }
                None => {
                    places.push(taken);
                    places.len() - 1
                }
            };
            at[which] = Some(place);
        }
        if places.len() > most {
            let more = "names that were taken away and may still be named take up room: try again later";
            return Err(format!("{} places are needed, there are {most}; {more}", places.len()));
        }
        Ok(Assigned { places: Places(places), at: at.into_iter().flatten().collect(), anew })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: f64) -> Time {
        Time::from_ms(ms)
    }

    fn named<'a>(names: &[&'a str]) -> Vec<(&'a str, Span)> {
        names.iter().map(|name| (*name, Span::from_ms(100.0))).collect()
    }

    #[test]
    fn a_name_keeps_its_place_and_one_that_went_rests_until_nothing_can_name_it() {
        let idle = |_| false;
        let first = Places::default().assign(at(0.0), &named(&["a", "b"]), 3, idle).expect("room");
        assert_eq!((first.at.as_slice(), first.anew.as_slice()), ([0, 1].as_slice(), [].as_slice()));
        let second = first.places.assign(at(10.0), &named(&["b", "c"]), 3, idle).expect("room");
        assert_eq!(second.at, [1, 2]);
        assert_eq!(second.places.name(0), Some(("a", false)));
        // All places are taken or rest.
        assert!(second.places.assign(at(20.0), &named(&["b", "c", "d"]), 3, idle).is_err());
        // Back in time, it has its place again; nothing stands for something else.
        let back = second.places.assign(at(50.0), &named(&["a", "b"]), 3, idle).expect("room");
        assert_eq!((back.at, back.anew), (vec![0, 1], vec![]));
        // Rested, but a job in hand names it.
        assert!(second.places.assign(at(200.0), &named(&["b", "c", "d"]), 3, |place| place == 0).is_err());
        let reused = second.places.assign(at(200.0), &named(&["b", "c", "d"]), 3, idle).expect("room");
        assert_eq!((reused.at, reused.anew), (vec![1, 2, 0], vec![0]));
    }
}
