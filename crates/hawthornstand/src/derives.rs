//! Common derive sets.

/// Declares value types with the derives that all value types of this crate share.
macro_rules! value_types {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}

pub(crate) use value_types;
