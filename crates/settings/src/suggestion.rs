//! The known word nearest to a misspelt one.

/// The largest number of edits between a word and what it was likely meant to be, for words of any length.
const MAXIMUM_DISTANCE: usize = 3;

/// The word of `known` that `word` is most likely a misspelling of.
pub(crate) fn nearest<'known>(word: &str, known: impl IntoIterator<Item = &'known str>) -> Option<&'known str> {
    let allowed = (word.chars().count() / 3).clamp(1, MAXIMUM_DISTANCE);
    known
        .into_iter()
        .map(|candidate| (strsim::osa_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, candidate)| candidate)
}
