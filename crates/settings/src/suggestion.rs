//! Suggests the known word that is closest to a misspelt one.

/// The maximum edit distance between a misspelt word and its suggestion, however long the word is.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the word of `known` with the smallest edit distance to `word`, or `None` if no word is close enough.
///
/// One edit is allowed for every three characters of `word`, from 1 up to [`MAX_EDIT_DISTANCE`].
pub(crate) fn nearest_word<'known>(word: &str, known: impl IntoIterator<Item = &'known str>) -> Option<&'known str> {
    let max_distance = (word.chars().count() / 3).clamp(1, MAX_EDIT_DISTANCE);
    known
        .into_iter()
        .map(|candidate| (strsim::osa_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map(|(_, candidate)| candidate)
}
